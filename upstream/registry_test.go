package upstream_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/transport"
	"daisyswitch/upstream"
	"daisyswitch/wire"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	m.Run()
}

const class = "bids"

func announcement(id, domain string, sequence uint64) *upstream.Announcement {
	return &upstream.Announcement{ID: id, Address: "127.0.0.1:1", Domain: domain, Classes: []string{class}, Slots: 8, Connections: 64, Sequence: sequence}
}

// entryGroup is a group of entries that exchange announcements, as package neighbor does.
type entryGroup struct {
	entries []*upstream.Registry
	dead    []bool
	cut     func(a, b int) bool
	delay   time.Duration // between a request and the arrival of the reply
}

func newEntryGroup(n int, domains string) *entryGroup {
	f := &entryGroup{dead: make([]bool, n), cut: func(_, _ int) bool { return false }}
	for i := range n {
		f.entries = append(f.entries, upstream.New(upstream.Options{Name: fmt.Sprint("e", i), Domain: string(domains[i%len(domains)]), Entries: n}))
	}
	return f
}

func (f *entryGroup) exchange() {
	for i, e := range f.entries {
		for j, other := range f.entries {
			if i == j || f.dead[i] || f.dead[j] || f.cut(i, j) {
				continue
			}
			asked := time.Now()
			relayed := other.Announcements(time.Now())
			time.Sleep(f.delay)
			e.Merge(asked, relayed)
		}
	}
}

// TestLeavingUpstreamGetsNothingAfter3s lets only one entry receive the announcement that the upstream leaves. In one of two cases that entry fails before it can relay it.
// Exchanges are slow, so that ages must include the network delay.
func TestLeavingUpstreamGetsNothingAfter3s(t *testing.T) {
	for _, dies := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newEntryGroup(3, "aab")
			f.delay = 150 * time.Millisecond
			for s := uint64(1); s <= 5; s++ {
				f.entries[0].Announce(time.Now(), announcement("u", "a", s))
				f.exchange()
			}
			for i, e := range f.entries {
				slot, availability := e.Take(class, nil)
				assert.Equal(t, availability, upstream.Free, "entry %d", i)
				slot.Release()
			}
			leftAt := time.Now()
			leaving := announcement("u", "a", 6)
			leaving.Leaving = true
			f.entries[0].Announce(leftAt, leaving)
			f.dead[0] = dies
			for time.Since(leftAt) < 10*time.Second {
				f.exchange()
				time.Sleep(50 * time.Millisecond)
				for i, e := range f.entries {
					_, availability := e.Take(class, nil)
					if time.Since(leftAt) > 3*time.Second {
						assert.Equal(t, availability, upstream.Absent, "entry %d, %v after the upstream announced that it leaves", i, time.Since(leftAt))
					}
				}
			}
		})
	}
}

// TestOldWordCannotBringBack checks that older, equal and delayed announcements don't add an upstream again after it left or expired.
func TestOldWordCannotBringBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntryGroup(1, "a").entries[0]
		_, availability := e.Take(class, nil)
		assert.Equal(t, availability, upstream.Busy, "an entry that has just started must wait for announcements")
		time.Sleep(3 * time.Second)
		leaving := announcement("u", "a", 5)
		leaving.Leaving = true
		e.Announce(time.Now(), leaving)
		e.Announce(time.Now(), announcement("u", "a", 5))
		e.Announce(time.Now(), announcement("u", "a", 4))
		e.Merge(time.Now(), []*wire.Announcement{{Id: "u", Address: "127.0.0.1:1", Domain: "a", Classes: []string{class}, Slots: 8, Connections: 64, Sequence: 4}})
		_, availability = e.Take(class, nil)
		assert.Equal(t, availability, upstream.Absent)
		w := announcement("w", "b", 5)
		w.Address = "127.0.0.1:3"
		e.Announce(time.Now(), w)
		time.Sleep(2 * time.Second)
		e.Merge(time.Now(), []*wire.Announcement{{Id: "w", Address: w.Address, Domain: "b", Classes: []string{class}, Slots: 8, Connections: 64, Sequence: 4}})
		time.Sleep(2 * time.Second)
		_, availability = e.Take(class, nil)
		assert.Equal(t, availability, upstream.Absent, "an older announcement must not renew the upstream")
		e.Merge(time.Now(), []*wire.Announcement{{Id: "w", Address: w.Address, Domain: "b", Classes: []string{class}, Slots: 8, Connections: 64, Sequence: 5, AgeMs: 1}})
		_, availability = e.Take(class, nil)
		assert.Equal(t, availability, upstream.Absent, "a delayed announcement must not add an expired upstream again")
		e.Announce(time.Now(), w)
		_, availability = e.Take(class, []string{"u"})
		assert.Equal(t, availability, upstream.Free, "an announcement from the upstream itself must be accepted")
		w.Leaving = true
		e.Announce(time.Now(), w)
		e.Merge(time.Now(), []*wire.Announcement{{Id: "v", Address: "127.0.0.1:2", Domain: "a", Classes: []string{class}, Slots: 8, Connections: 64, AgeMs: 2500}})
		time.Sleep(600 * time.Millisecond)
		_, availability = e.Take(class, nil)
		assert.Equal(t, availability, upstream.Absent)
	})
}

// TestRestartedUpstreamTakesOverItsAddress checks that of two incarnations at one address, only the one announced last receives requests.
func TestRestartedUpstreamTakesOverItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntryGroup(1, "a").entries[0]
		e.Announce(time.Now(), announcement("u.1", "a", 9))
		old := e.Announcements(time.Now())
		time.Sleep(time.Second)
		asked := time.Now()
		e.Announce(time.Now(), announcement("u.2", "a", 1))
		e.Merge(asked, old)
		for range 20 {
			slot, _ := e.Take(class, nil)
			assert.Equal(t, slot.ID(), "u.2")
			slot.Release()
		}
	})
}

// TestCutOffDomainServesItsOwn partitions one domain of three from the others. Its entries must continue with their own upstreams and configuration.
// After the partition heals, the other domains' upstreams must be usable again and an older configuration must be ignored.
func TestCutOffDomainServesItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEntryGroup(9, "abc")
		f.cut = func(_, _ int) bool { return false }
		sequence := uint64(0)
		second := func() {
			sequence++
			for i, domain := range "abc" {
				a := announcement("u"+string(domain), string(domain), sequence)
				a.Address = fmt.Sprint("127.0.0.1:", i+1)
				f.entries[i+3*int(sequence%3)].Announce(time.Now(), a)
			}
			f.exchange()
			time.Sleep(time.Second)
		}
		usable := func(i int) int {
			n := 0
			for _, skip := range [][]string{{"ub", "uc"}, {"ua", "uc"}, {"ua", "ub"}} {
				if slot, availability := f.entries[i].Take(class, skip); availability == upstream.Free {
					slot.Release()
					n++
				}
			}
			return n
		}
		out := &wire.Configuration{Version: 7, Domains: []*wire.Domain{{Name: "b", Out: true}}}
		f.entries[0].SetConfiguration(out)
		second()
		second()
		assert.DeepEqual(t, []int{usable(0), usable(1), usable(3)}, []int{2, 3, 3})
		f.cut = func(a, b int) bool { return (a%3 == 0) != (b%3 == 0) }
		for range 5 {
			second()
		}
		assert.DeepEqual(t, []int{usable(0), usable(1), usable(3)}, []int{1, 2, 1})
		assert.DeepEqual(t, f.entries[0].Counts(), upstream.Counts{Usable: 1})
		f.cut = func(_, _ int) bool { return false }
		f.entries[0].SetConfiguration(&wire.Configuration{Version: 6})
		second()
		assert.DeepEqual(t, []int{usable(0), usable(1), usable(3)}, []int{2, 3, 3})
	})
}

// TestConnectionsStayWithinTheUpstreams lets nine entries send far more concurrent requests to one upstream than it allows connections.
func TestConnectionsStayWithinTheUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var open, maxOpen atomic.Int64
		dial := func(context.Context, string) (net.Conn, error) {
			time.Sleep(time.Millisecond)
			client, server := net.Pipe()
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
			go func() {
				defer open.Add(-1)
				buffer := make([]byte, 4096)
				for {
					if _, err := server.Read(buffer); err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
					io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			return client, nil
		}
		var answered atomic.Int64
		for i := range 9 {
			r := upstream.New(upstream.Options{Name: fmt.Sprint("e", i), Domain: "a", Entries: 9, Transport: transport.Options{Dial: dial}})
			r.Announce(time.Now(), announcement("u", "a", 1))
			for range 20 {
				go func() {
					for range 50 {
						if sendOne(r) {
							answered.Add(1)
						}
						time.Sleep(time.Millisecond)
					}
				}()
			}
			defer r.Close()
		}
		time.Sleep(2 * time.Second)
		assert.Assert(t, maxOpen.Load() <= 64, "%d connections", maxOpen.Load())
		assert.Assert(t, answered.Load() > 500, "%d answers", answered.Load())
	})
}

// sendOne sends one request if a slot is free and reports whether it got a complete response.
func sendOne(r *upstream.Registry) bool {
	slot, availability := r.Take(class, nil)
	if availability != upstream.Free {
		return false
	}
	defer slot.Release()
	request, _ := http.NewRequest("POST", "http://u/", nil)
	answer, err := slot.Do(context.Background(), &transport.Request{Request: request})
	if err != nil {
		return false
	}
	defer answer.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil
}

func TestHandlerChecksAnnouncements(t *testing.T) {
	r := newEntryGroup(1, "a").entries[0]
	post := func(body string) int {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest("POST", upstream.Path, bytes.NewBufferString(body)))
		return w.Code
	}
	good := `{"id":"u","address":"127.0.0.1:80","domain":"a","classes":["bids"],"sequence":1}`
	assert.Equal(t, post(good), http.StatusNoContent)
	for _, bad := range []string{"", "{}", `{"id":"u"}`, good[:40], `{"id":"u","address":"host:80","domain":"a","classes":["bids"]}`,
		`{"id":"u","address":"127.0.0.1:80","domain":"a","classes":["bids"],"slots":-1}`, good + strings.Repeat(" ", upstream.MaxAnnouncementBytes)} {
		assert.Equal(t, post(bad), http.StatusBadRequest, bad[:min(len(bad), 80)])
	}
	_, availability := r.Take(class, nil)
	assert.Equal(t, availability, upstream.Free)
}

func FuzzParseAnnouncement(f *testing.F) {
	f.Add([]byte(`{"id":"u","address":"127.0.0.1:80","domain":"a","classes":["bids"],"sequence":1}`))
	f.Add([]byte(`{"id":"u","address":"[::1]:80","domain":"a","classes":["",null],"slots":1e9}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := upstream.ParseAnnouncement(body)
		if err != nil {
			assert.Assert(t, errors.Unwrap(err) != nil)
			return
		}
		r := upstream.New(upstream.Options{Name: "e", Domain: "a", Entries: 1})
		now := time.Now()
		r.Announce(now, a)
		again := upstream.New(upstream.Options{Name: "f", Domain: "a", Entries: 1})
		again.Merge(now, r.Announcements(now))
		assert.Equal(t, len(again.Announcements(now)), 1)
	})
}
