package fakeupstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"daisyswitch/standin"
	"daisyswitch/verdict"
)

const (
	headerClass     = "Daisyswitch-Class"
	headerRequestID = "Daisyswitch-Request-Id"
	headerVerdict   = "Daisyswitch-Verdict"
	bodyLimit       = 64 << 20
	repeatHold      = time.Second
)

// serve takes a slot, records the effect once and responds according to the mode.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, bodyLimit))
	if err != nil {
		http.Error(w, "can't read the request body", http.StatusBadRequest)
		return
	}
	if !u.takeSlot(r.Context()) {
		u.recordRequest(standin.RequestRefused, r)
		refuse(w)
		return
	}
	defer u.freeSlot()
	u.recordRequest(standin.RequestRan, r)
	mode, changed := u.currentMode()
	u.work(r.Context(), mode, changed)
	answer := NewAnswer(r.Header.Get(headerRequestID), body, u.options.BodyBytes)
	switch {
	case mode.Truncate:
		truncate(w, answer)
	case mode.Repeat:
		u.repeat(w, answer)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Write(answer) //nolint:errcheck // the caller counts broken responses
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(headerVerdict, verdict.NotRun.String())
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

func (u *Upstream) takeSlot(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
	default:
		if !u.waitForSlot(ctx) {
			return false
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inProgress++
	return true
}

func (u *Upstream) waitForSlot(ctx context.Context) bool {
	wait := time.NewTimer(u.options.QueueWait)
	defer wait.Stop()
	select {
	case u.slots <- struct{}{}:
		return true
	case <-wait.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) freeSlot() {
	u.mu.Lock()
	u.inProgress--
	u.mu.Unlock()
	<-u.slots
}

func (u *Upstream) recordRequest(kind string, r *http.Request) {
	u.mu.Lock()
	leaveAcceptedAt := u.leaveAcceptedAt
	u.mu.Unlock()
	e := standin.RequestEffect{
		Kind:      kind,
		RequestID: r.Header.Get(headerRequestID),
		Class:     r.Header.Get(headerClass),
		Method:    r.Method,
	}
	if !leaveAcceptedAt.IsZero() {
		e.LeavingMS = max(time.Since(leaveAcceptedAt).Milliseconds(), 1)
	}
	u.record(e)
}

// work waits for the service time, multiplied by SlowBy. In silent mode it waits until the mode changes.
func (u *Upstream) work(ctx context.Context, mode Mode, changed <-chan struct{}) {
	if mode.Silent {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		return
	}
	took := u.draw.next() * time.Duration(max(mode.SlowBy, 1))
	select {
	case <-time.After(took):
	case <-ctx.Done():
	}
}

// truncate sends half of the announced content length, then aborts the connection.
func truncate(w http.ResponseWriter, answer []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Write(answer[:len(answer)/2]) //nolint:errcheck // the connection is aborted anyway
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	panic(http.ErrAbortHandler)
}

// repeat sends the response twice and keeps the connection open for repeatHold, but serves no further request on it.
func (u *Upstream) repeat(w http.ResponseWriter, answer []byte) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n", len(answer))
	one := append([]byte(head), answer...)
	conn.Write(append(one, one...)) //nolint:errcheck // the caller counts broken responses
	u.running.Go(func() { holdOpen(conn) })
}

func holdOpen(conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(repeatHold)) //nolint:errcheck // the read fails then
	io.Copy(io.Discard, conn)                        //nolint:errcheck // returns at the deadline or when the connection is closed
}

// Answer is the first line of a response body; Length bytes of payload follow it.
type Answer struct {
	RequestID string `json:"request_id"`
	Received  uint32 `json:"received"` // checksum of the request body
	Length    int    `json:"length"`   // bytes that follow this line
	Checksum  uint32 `json:"checksum"` // checksum of these bytes
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C by which request and response bodies are compared.
func Checksum(data []byte) uint32 {
	return crc32.Checksum(data, castagnoli)
}

// NewAnswer returns a response body that CheckAnswer accepts for the request with this id and body.
func NewAnswer(id string, received []byte, length int) []byte {
	filling := make([]byte, length)
	for i := range filling {
		filling[i] = 'a' + byte((i+len(id))%26)
	}
	line, _ := json.Marshal(Answer{RequestID: id, Received: Checksum(received), Length: length, Checksum: Checksum(filling)})
	return append(append(line, '\n'), filling...)
}

// CheckAnswer returns an error if the response body is corrupt, incomplete or doesn't belong to the request with this id and body.
func CheckAnswer(answer []byte, id string, sent []byte) error {
	end := 0
	for end < len(answer) && answer[end] != '\n' {
		end++
	}
	if end == len(answer) {
		return errors.New("the answer has no end of its first line")
	}
	var a Answer
	if err := json.Unmarshal(answer[:end], &a); err != nil {
		return fmt.Errorf("the answer's first line: %w", err)
	}
	filling := answer[end+1:]
	switch {
	case a.RequestID != id:
		return fmt.Errorf("the answer is to %q, the request was %q", a.RequestID, id)
	case a.Received != Checksum(sent):
		return errors.New("the upstream received another body than was sent")
	case a.Length != len(filling):
		return fmt.Errorf("%d bytes of %d", len(filling), a.Length)
	case a.Checksum != Checksum(filling):
		return errors.New("the answer's checksum differs")
	}
	return nil
}
