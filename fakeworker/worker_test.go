package fakeworker

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/resource"
	"daisyswitch/standin"
	"daisyswitch/worker"

	"gotest.tools/v3/assert"
)

// entry serves polls over in-memory connections.
type entry struct {
	handler func(worker.Report) *worker.Reply // returns nil to leave a poll unanswered
	polls   []time.Duration                   // arrival times, since the test began
	open    atomic.Int32
	most    int32
	began   time.Time
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.most = max(e.most, e.open.Add(1))
	defer e.open.Add(-1)
	e.polls = append(e.polls, time.Since(e.began))
	var report worker.Report
	json.NewDecoder(r.Body).Decode(&report)
	if reply := e.handler(report); reply != nil {
		json.NewEncoder(w).Encode(reply)
		return
	}
	<-r.Context().Done()
}

// pipes is a listener for in-memory connections.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	conn, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// serve runs the entries, addressed by their keys, until the returned function is called.
func serve(entries map[string]*entry) (dial func(context.Context, string, string) (net.Conn, error), stop func()) {
	listeners := map[string]pipes{}
	var servers []*http.Server
	for name, e := range entries {
		e.began = time.Now()
		listeners[name] = make(pipes)
		server := &http.Server{Handler: e}
		servers = append(servers, server)
		go server.Serve(listeners[name])
	}
	dial = func(_ context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		listeners[address] <- far
		return near, nil
	}
	return dial, func() {
		for _, server := range servers {
			server.Close()
		}
	}
}

func TestSilentEntryIsGivenUpAfterASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := &entry{handler: func(worker.Report) *worker.Reply { return nil }}
		good := &entry{handler: func(worker.Report) *worker.Reply { return &worker.Reply{LeaseMS: 5000} }}
		dial, stop := serve(map[string]*entry{"silent:1": silent, "good:1": good})
		w, err := New(Options{Name: "w", Entries: []string{"silent:1", "good:1"}, Capacity: resource.Size{MilliCPU: 1}, Poll: 200 * ms, Scale: 1, Dial: dial})
		assert.NilError(t, err)
		time.Sleep(1500 * ms)
		synctest.Wait()
		assert.DeepEqual(t, silent.polls, []time.Duration{0})
		assert.DeepEqual(t, good.polls, []time.Duration{1050 * ms, 1250 * ms, 1450 * ms})
		assert.Equal(t, silent.most+good.most, int32(2))
		assert.NilError(t, w.Close())
		stop()
	})
}

func TestWorkerThatIsCutOffStopsBatchInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal := filepath.Join(t.TempDir(), "worker-w.jsonl")
		polls := 0
		cut := &entry{handler: func(worker.Report) *worker.Reply {
			if polls++; polls > 1 {
				return nil
			}
			return &worker.Reply{LeaseMS: 5000, Orders: []worker.Order{start("refunds", "refunds", time.Hour, false)}}
		}}
		dial, stop := serve(map[string]*entry{"cut:1": cut})
		w, err := New(Options{Name: "w", Entries: []string{"cut:1"}, Capacity: resource.Size{MilliCPU: 1000, MemoryMiB: 1024}, Poll: 200 * ms, Scale: 1, Journal: journal, Dial: dial})
		assert.NilError(t, err)
		time.Sleep(8 * time.Second)
		assert.NilError(t, w.Close())
		stop()
		effects, err := standin.ReadJournal[standin.TaskEffect](journal)
		assert.NilError(t, err)
		assert.Equal(t, len(effects), 3) // boot, start, stop
		ran := time.Duration(effects[2].TimeUS-effects[1].TimeUS) * time.Microsecond
		assert.Equal(t, effects[2].Reason, standin.ReasonLeaseEnd)
		assert.Equal(t, ran, 5*time.Second-stopMargin)
	})
}
