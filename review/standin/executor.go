package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in for an executor that behaves as the users' pages say.
type executor struct {
	in       *installation
	id       string
	zone     string
	ip       string
	label    string
	rack     string
	milliCPU int

	wire   *wire // stays while the executor is without power
	server *http.Server
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	up       bool
	born     time.Time
	state    string
	sequence int64
	fence    int64
	deadline int64
	running  map[string]*work
	closed   map[string]int64 // by task, the highest run that was stopped or has ended here
	ended    []endedRun
	lastEnd  int64
	changed  chan struct{}
	failing  time.Time // until when it fails all that it starts
	refusing time.Time // until when it is unhealthy and starts nothing

	firstCheckIn time.Duration // from its start
}

// work is a run in progress.
type work struct {
	*runSeen
	left     time.Duration
	total    time.Duration
	lasts    bool
	fails    bool
	stopping time.Duration
}

type endedRun struct {
	number int64
	*runSeen
	lapsed bool // the lease lapsed after it, so that it counts no more as taken note of
}

// failAfter is how long a run works on an executor that fails all that it starts.
const failAfter = 200 * time.Millisecond

func newExecutor(in *installation, number int, label string) *executor {
	return &executor{
		in: in, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), zone: zones[number%len(zones)], ip: fmt.Sprintf("%s.%d", in.network, 60+number),
		label: label, rack: fmt.Sprintf("r1-%d", number/8+1), milliCPU: 64000,
	}
}

func (e *executor) address() string { return e.in.address(e.ip, executorPort) }

// start begins a new life of the executor.
func (e *executor) start() error {
	e.mu.Lock()
	e.up, e.born, e.state, e.sequence, e.fence, e.deadline, e.lastEnd = true, time.Now(), "ready", 0, 0, 0, 0
	e.running, e.closed, e.ended, e.changed = map[string]*work{}, map[string]int64{}, nil, make(chan struct{})
	e.in.note("executor starts", "executor", e.id, "born", e.born.UnixMilli())
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+word("start"), e.handle(e.startRun))
	mux.HandleFunc("POST "+word("stop"), e.handle(e.stopRun))
	mux.HandleFunc("POST "+word("hold"), e.handle(e.hold))
	mux.HandleFunc("POST "+word("pace"), e.handle(func(body) (int, body) { return http.StatusOK, body{} }))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	if e.wire == nil {
		wire, err := newWire(e.address())
		if err != nil {
			return err
		}
		e.wire = wire
	}
	listener := e.wire.powerOn()
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	e.server, e.cancel = server, cancel
	e.tasks.Add(3)
	go func() {
		defer e.tasks.Done()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.in.note("executor ends", "executor", e.id, "cause", err)
		}
	}()
	go func() { defer e.tasks.Done(); e.tick(ctx) }()
	go func() { defer e.tasks.Done(); e.checkIn(ctx) }()
	return nil
}

// shut ends the executor's life at once; what runs on it ends. If it is dark, its peers see nothing of it.
func (e *executor) shut(dark bool) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	for task, w := range e.running {
		e.in.ended(w.runSeen, "gone")
		delete(e.running, task)
	}
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	e.in.note("executor ends", "executor", e.id, "dark", dark)
	e.cancel()
	e.wire.powerOff(dark)
	if err := e.server.Close(); err != nil {
		e.in.note("executor's server not closed", "executor", e.id, "cause", err)
	}
	e.tasks.Wait()
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// handle reads an order, calls serve with the mutex held, and adds what every answer says.
func (e *executor) handle(serve func(body) (int, body)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order body
		if json.NewDecoder(r.Body).Decode(&order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get(word("instance_header")); expected != "" && expected != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mu.Lock()
		if !e.up {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, answer := serve(order)
		answer[word("clock")] = e.clock()
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			e.in.note("answer not sent", "executor", e.id, "cause", err)
		}
	}
}

func refuse(reason string) (int, body) { return http.StatusConflict, body{"reason": reason} }

func (e *executor) obeys(order body) bool {
	fence := order.number(word("fence"))
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

func (e *executor) extend(deadline int64) {
	e.deadline = max(e.deadline, min(deadline, e.clock()+longestLeaseMS))
}

func (e *executor) startRun(order body) (int, body) {
	if time.Now().Before(e.refusing) {
		e.in.note("start refused", "executor", e.id, "task", order.text("task"), "run", order.number("run"), "status", http.StatusServiceUnavailable)
		return http.StatusServiceUnavailable, body{}
	}
	if !e.obeys(order) {
		return refuse("fence")
	}
	task, run, deadline := order.text("task"), order.number("run"), order.number(word("deadline"))
	w := e.running[task]
	switch {
	case w != nil && w.run == run:
		e.extend(deadline)
		return http.StatusOK, body{}
	case w != nil && w.run > run, run <= e.closed[task]:
		e.extend(deadline)
		return refuse("old")
	case deadline <= e.clock():
		return refuse("late")
	}
	e.extend(deadline)
	id, _, _ := strings.Cut(task, ".")
	total := e.in.workOf(id).draw()
	next := &work{left: total, total: total, lasts: total == 0}
	if next.fails = time.Now().Before(e.failing); next.fails {
		next.left, next.lasts = failAfter, false
	}
	next.runSeen = e.in.started(e.id, task, run)
	e.running[task] = next
	return http.StatusOK, body{}
}

func (e *executor) stopRun(order body) (int, body) {
	if !e.obeys(order) {
		return refuse("fence")
	}
	task, run := order.text("task"), order.number("run")
	e.closed[task] = max(e.closed[task], run)
	e.in.note("stop", "task", task, "run", run, "executor", e.id)
	if w := e.running[task]; w != nil && w.run <= run && w.stopping == 0 {
		w.stopping = stopTimeout / 3
	}
	return http.StatusOK, body{}
}

// hold extends the lease and lists what runs and what has ended. It waits for an end if it is told to.
func (e *executor) hold(order body) (int, body) {
	if !e.obeys(order) {
		return refuse("fence")
	}
	if deadline := order.number(word("deadline")); deadline > 0 {
		e.extend(deadline)
	}
	e.forget(order.number(word("noted")))
	until := time.Now().Add(time.Duration(min(2000, order.number(word("wait")))) * time.Millisecond)
	for len(e.ended) == 0 && e.up && time.Now().Before(until) {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		}
		e.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, w := range e.running {
		running = append(running, []any{task, w.run, "", w.percent(), 0})
	}
	for _, r := range e.ended[:min(len(e.ended), endsAtATime)] {
		ended = append(ended, []any{r.number, r.task, r.run, r.how, ""})
	}
	return http.StatusOK, body{"born": e.born.UnixMilli(), "running": running, word("ended"): ended}
}

// forget drops the ends that have been seen.
func (e *executor) forget(seen int64) {
	for len(e.ended) > 0 && e.ended[0].number <= seen {
		if !e.ended[0].lapsed {
			e.in.markNoted(e.ended[0].runSeen)
		}
		e.ended = e.ended[1:]
	}
}

// endsAtATime is how many ends one answer lists.
const endsAtATime = 500

func (w *work) percent() int {
	if w.lasts {
		return 100
	}
	return int(100 * (w.total - w.left) / w.total)
}

const tickTime = 10 * time.Millisecond

// tick lets the runs work and ends the lease.
func (e *executor) tick(ctx context.Context) {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		e.mu.Lock()
		e.advance(now.Sub(last))
		e.mu.Unlock()
		last = now
	}
}

func (e *executor) advance(passed time.Duration) {
	lapsed := e.deadline != 0 && e.clock() >= e.deadline
	for i := range e.ended {
		e.ended[i].lapsed = e.ended[i].lapsed || lapsed
	}
	for _, w := range e.running {
		switch {
		case lapsed:
			e.finish(w, "lapsed")
		case w.stopping > 0:
			if w.stopping -= passed; w.stopping <= 0 {
				e.finish(w, "stopped")
			}
		case w.lasts:
		default:
			if w.left -= passed; w.left > 0 {
				continue
			}
			how := "done"
			if w.fails {
				how = "failed"
			}
			e.finish(w, how)
		}
	}
}

func (e *executor) finish(w *work, how string) {
	delete(e.running, w.task)
	e.closed[w.task] = max(e.closed[w.task], w.run)
	e.in.ended(w.runSeen, how)
	e.lastEnd++
	e.ended = append(e.ended, endedRun{number: e.lastEnd, runSeen: w.runSeen})
	close(e.changed)
	e.changed = make(chan struct{})
}

// report returns the executor's report about itself.
func (e *executor) report() body {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return body{
		"service": pool, "address": e.address(), "zone": e.zone, "version": "v1", "slots": 8, "state": e.state, word("cold"): 0,
		"room":   body{"cpu": e.milliCPU, word("memory"): 256000, "gpu": 0},
		"labels": []string{e.label, e.rack}, "machine": "m-" + e.id, word("clock"): e.clock(), "born": e.born.UnixMilli(), "seq": e.sequence,
	}
}

// checkIn reports regularly.
func (e *executor) checkIn(ctx context.Context) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	select {
	case <-ctx.Done():
		return
	case <-time.After(e.firstCheckIn):
	}
	next := ""
	for {
		if !e.wire.isCut() {
			next = e.checkInOnce(next, e.report())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkInOnce sends a report to the address named last, or else to members in turn. It returns the address for the next one.
func (e *executor) checkInOnce(next string, report body) string {
	var addresses []string
	if next != "" {
		addresses = append(addresses, next)
	}
	for _, m := range e.in.members {
		addresses = append(addresses, e.in.address(m.ip, controlPort))
	}
	for _, address := range addresses {
		status, answer, _ := e.in.callFollowing(http.MethodPut, address, word("instances")+e.id, "", encode(report), time.Second, 2)
		if status < 200 || status >= 300 {
			continue
		}
		var reply body
		if json.Unmarshal(answer, &reply) == nil && reply.text(word("next")) != "" {
			return reply.text(word("next"))
		}
		return address
	}
	e.in.note("check-in not acknowledged", "executor", e.id)
	return ""
}
