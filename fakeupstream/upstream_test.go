package fakeupstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"daisyswitch/standin"

	"gotest.tools/v3/assert"
)

// run starts an upstream and an entry, and returns the announcements that the entry receives.
func run(t *testing.T, o Options) (*Upstream, chan announcement) {
	told := make(chan announcement, 1000)
	entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a announcement
		json.NewDecoder(r.Body).Decode(&a)
		told <- a
	}))
	t.Cleanup(entry.Close)
	o.Name, o.Address, o.Entries, o.Slots = "u", "127.0.0.1:0", []string{entry.Listener.Addr().String()}, max(o.Slots, 1)
	o.Connections = max(o.Connections, 8)
	u, err := New(o)
	assert.NilError(t, err)
	return u, told
}

func sendRequest(u *Upstream, id string) (int, []byte, error) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+u.Address()+"/", strings.NewReader("body of "+id))
	request.Header.Set(headerRequestID, id)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// awaitInProgress waits until n requests hold a slot.
func awaitInProgress(u *Upstream, n int) {
	for held := -1; held != n; time.Sleep(time.Millisecond) {
		u.mu.Lock()
		held = u.inProgress
		u.mu.Unlock()
	}
}

func TestAnswersAreTheirOwnAndWhole(t *testing.T) {
	u, _ := run(t, Options{BodyBytes: 100})
	_, body, err := sendRequest(u, "a")
	assert.NilError(t, err)
	assert.NilError(t, CheckAnswer(body, "a", []byte("body of a")))
	assert.ErrorContains(t, CheckAnswer(body, "b", []byte("body of a")), `the answer is to "a"`)
	assert.ErrorContains(t, CheckAnswer(body, "a", []byte("body of b")), "another body")
	assert.ErrorContains(t, CheckAnswer(body[:len(body)-1], "a", []byte("body of a")), "99 bytes of 100")
	body[len(body)-1] ^= 1
	assert.ErrorContains(t, CheckAnswer(body, "a", []byte("body of a")), "checksum")
	assert.NilError(t, u.Close())
}

func TestRequestBeyondTheSlotsIsRefusedAndDidNotRun(t *testing.T) {
	journal := filepath.Join(t.TempDir(), "upstream-u.jsonl")
	u, _ := run(t, Options{Slots: 2, Journal: journal})
	u.SetMode(Mode{Silent: true})
	answered := make(chan int, 2)
	for _, id := range []string{"a", "b"} {
		go func() {
			status, _, _ := sendRequest(u, id)
			answered <- status
		}()
	}
	awaitInProgress(u, 2)
	response, err := http.Get("http://" + u.Address())
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(headerVerdict), "not-run")
	u.SetMode(Mode{})
	assert.Equal(t, <-answered+<-answered, 2*http.StatusOK)
	assert.NilError(t, u.Close())
	effects, err := standin.ReadJournal[standin.RequestEffect](journal)
	assert.NilError(t, err)
	kinds := map[string]int{}
	for _, e := range effects {
		kinds[e.Kind]++
	}
	assert.DeepEqual(t, kinds, map[string]int{standin.RequestRan: 2, standin.RequestRefused: 1, standin.UpstreamStopped: 1})
}

func TestConnectionsBeyondTheLimitAreClosedAndCounted(t *testing.T) {
	u, _ := run(t, Options{Connections: 8})
	var open []net.Conn
	for range 9 {
		conn, err := net.Dial("tcp", u.Address())
		assert.NilError(t, err)
		open = append(open, conn)
	}
	_, err := open[8].Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, u.RefusedConnections(), int64(1))
	assert.NilError(t, u.Close())
}

func TestTruncatedAnswerBreaksVisibly(t *testing.T) {
	u, _ := run(t, Options{BodyBytes: 1000})
	u.SetMode(Mode{Truncate: true})
	_, _, err := sendRequest(u, "a")
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.NilError(t, u.Close())
}

func TestRepeatedAnswerComesTwiceOverOneConnection(t *testing.T) {
	u, _ := run(t, Options{BodyBytes: 100})
	u.SetMode(Mode{Repeat: true})
	conn, err := net.Dial("tcp", u.Address())
	assert.NilError(t, err)
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: u\r\n%s: a\r\n\r\n", headerRequestID)
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, CheckAnswer(body, "a", nil))
	}
	conn.Close()
	assert.NilError(t, u.Close())
}

func TestLeavingIsAnnouncedAndCutsNothing(t *testing.T) {
	journal := filepath.Join(t.TempDir(), "upstream-u.jsonl")
	u, told := run(t, Options{Journal: journal})
	first := <-told
	assert.Equal(t, first.Leaving, false)
	assert.Equal(t, first.Address, u.Address())
	u.SetMode(Mode{Silent: true})
	answered := make(chan error, 1)
	go func() {
		_, body, err := sendRequest(u, "a")
		answered <- errors.Join(err, CheckAnswer(body, "a", []byte("body of a")))
	}()
	awaitInProgress(u, 1)
	left := make(chan error, 1)
	go func() { left <- u.Leave(context.Background()) }()
	for a := range told {
		if a.Leaving {
			assert.Assert(t, a.Sequence > first.Sequence)
			break
		}
	}
	u.SetMode(Mode{})
	assert.NilError(t, <-answered)
	assert.NilError(t, <-left)
	assert.NilError(t, u.Close())
	effects, err := standin.ReadJournal[standin.RequestEffect](journal)
	assert.NilError(t, err)
	assert.Equal(t, effects[len(effects)-1].InProgress, 0)
}

func TestAdminChangesTheMode(t *testing.T) {
	u, _ := run(t, Options{Admin: "127.0.0.1:0"})
	put := func(path, body string) int {
		w := httptest.NewRecorder()
		u.admin.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader(body)))
		return w.Code
	}
	assert.Equal(t, put("/v1/standin/mode", `{"slow_by": 9, "silent": true}`), http.StatusOK)
	mode, _ := u.currentMode()
	assert.Equal(t, mode, Mode{SlowBy: 9, Silent: true})
	assert.Equal(t, put("/v1/standin/mode", `{"fast": true}`), http.StatusBadRequest)
	assert.Equal(t, put("/v1/standin/leave", ""), http.StatusOK)
	assert.Equal(t, put("/v1/standin/leave", ""), http.StatusOK)
	<-u.LeaveRequested()
	assert.NilError(t, u.Close())
}
