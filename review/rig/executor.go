package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of an executor, from the users' pages.
const (
	heartbeat = 1500 * time.Millisecond
	startUp   = 300 * time.Millisecond // of a task that lasts
	stopTime  = 200 * time.Millisecond
	holdTick  = 20 * time.Millisecond // between the times at which holds are answered
	longLease = 6 * time.Second
	saveEvery = 1000 // milliseconds of work
	workTick  = 5 * time.Millisecond
	mostEnds  = 500 // in one listing
)

// work is what a task does. The client writes it into the text of its submission.
type work struct {
	MS    int64 `json:"ms"`
	Fails int64 `json:"fails"` // runs up to this number fail at their end
	Lasts bool  `json:"lasts"`
	Saves bool  `json:"saves"` // checkpoints its progress
	Dies  int64 `json:"dies"`  // milliseconds after which each run fails, 0 if it doesn't
	Fills bool  `json:"fills"`
	CPU   int64 `json:"cpu"`  // thousandths of a core
	Tail  int64 `json:"tail"` // milliseconds, of a task that serves without others beside it
}

// execution is a run in progress.
type execution struct {
	work
	task     string
	run      int64
	began    time.Time
	done     time.Duration // of its work
	pace     int64         // percent
	stopping time.Time     // when it will have stopped, zero if no stop was ordered
	working  bool          // it lasts and is at work
	saved    string
}

// endedRun is an end in an executor's list.
type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
}

// executor is a stand-in for an executor. It keeps leases, fencing tokens and checkpoints, and doesn't guard its room.
type executor struct {
	r       *rig
	id      string
	zone    string
	address string
	cpu     int64 // thousandths of a core
	label   string
	server  *http.Server
	life    context.Context
	stop    context.CancelFunc

	mu       sync.Mutex // guards the fields below
	born     time.Time
	fence    int64
	deadline int64 // on its clock
	runs     map[string]*execution
	closed   map[string]int64 // highest run of each task that was stopped or has ended
	ends     []endedRun
	lastEnd  int64
	changed  chan struct{} // closed and replaced whenever a run ends
	sequence int64
	draining bool
	drained  time.Time // when a check-in that said so was acknowledged
	load     float64   // factor of the tails of the tasks that serve
	next     string    // address for check-ins
	ended    bool
}

// newExecutor starts an executor on the i-th address for them.
func (r *rig) newExecutor(i int, cpu int64, label string) (*executor, error) {
	return r.newLife(i, cpu, label, executorIP(i))
}

// newHiddenExecutor starts an executor that is reached through a proxy on the i-th address.
func (r *rig) newHiddenExecutor(i int, cpu int64) (*executor, error) {
	return r.newLife(i, cpu, "a", hiddenIP(i))
}

// newLife starts an executor that listens on an IP.
func (r *rig) newLife(i int, cpu int64, label, ip string) (*executor, error) {
	e := &executor{
		r: r, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*0x101), zone: zones[i%len(zones)], address: r.address(executorIP(i), portExecutor), cpu: cpu, label: label,
		born: time.Now(), runs: map[string]*execution{}, closed: map[string]int64{}, changed: make(chan struct{}), load: 1,
	}
	listener, err := net.Listen("tcp", r.address(ip, portExecutor))
	if err != nil {
		return nil, err
	}
	e.life, e.stop = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+word("start"), e.handle(e.executeStart))
	mux.HandleFunc("POST "+word("stop"), e.handle(e.executeStop))
	mux.HandleFunc("POST "+word("hold"), e.handle(e.executeHold))
	mux.HandleFunc("POST "+word("pace"), e.handle(e.executePace))
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	r.running.Add(3)
	go func() {
		defer r.running.Done()
		e.server.Serve(listener) //nolint:errcheck // it ends with the executor
	}()
	go e.every(workTick, e.advance)
	go e.every(heartbeat, e.checkIn)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executors = append(r.executors, e)
	return e, nil
}

// every calls a function at once and then at an interval until the executor ends.
func (e *executor) every(interval time.Duration, do func()) {
	defer e.r.running.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for e.life.Err() == nil {
		do()
		select {
		case <-ticker.C:
		case <-e.life.Done():
		}
	}
}

// end ends the executor with all that runs on it.
func (e *executor) end() {
	e.mu.Lock()
	e.ended = true
	clear(e.runs)
	e.mu.Unlock()
	e.stop()
	e.server.Close() //nolint:errcheck // its channels end with it
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// answer adds what every answer with a body holds.
func (e *executor) answer(more object) object {
	body := object{word("clock"): e.clock(), "born": e.born.UnixMilli()}
	for k, v := range more {
		body[k] = v
	}
	return body
}

func (e *executor) refuse(reason string) (int, object) {
	return http.StatusConflict, e.answer(object{"reason": reason})
}

// handle decodes an order and executes it with the mutex held.
func (e *executor) handle(execute func(object) (int, object)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		order := object{}
		if json.NewDecoder(r.Body).Decode(&order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get(word("expected instance")) != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mu.Lock()
		status, body := execute(order)
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may have left
	}
}

// obeys notes the fencing token of an order, and returns false if a later one was seen.
func (e *executor) obeys(order object) bool {
	token := order.number(word("fence"))
	if token < e.fence {
		return false
	}
	e.fence = token
	return true
}

func (e *executor) extend(order object) {
	if deadline := order.number(word("deadline")); deadline > 0 {
		e.deadline = max(e.deadline, min(deadline, e.clock()+longLease.Milliseconds()))
	}
}

func (e *executor) executeStart(order object) (int, object) {
	task, run := order.text("task"), order.number("run")
	if !e.obeys(order) {
		return e.refuse("fence")
	}
	if x := e.runs[task]; x != nil && x.run == run {
		e.extend(order)
		return http.StatusOK, e.answer(nil)
	}
	if x := e.runs[task]; run <= e.closed[task] || x != nil && run < x.run {
		e.extend(order)
		return e.refuse("old")
	}
	if order.number(word("deadline")) <= e.clock() {
		return e.refuse("late")
	}
	e.extend(order)
	x := &execution{task: task, run: run, began: time.Now(), pace: 100, saved: order.text("checkpoint")}
	if err := json.Unmarshal([]byte(order.text("spec")), &x.work); err != nil {
		return http.StatusBadRequest, e.answer(nil)
	}
	saved := int64(0)
	if n, _ := fmt.Sscanf(x.saved, "%d", &saved); n == 1 {
		x.done = time.Duration(saved) * time.Millisecond
	}
	e.runs[task] = x
	e.r.note("%s starts %s run %d", e.id, task, run)
	e.r.addStart(runStart{at: e.r.now(), executor: e.id, task: task, run: run})
	return http.StatusOK, e.answer(nil)
}

func (e *executor) executeStop(order object) (int, object) {
	if !e.obeys(order) {
		return e.refuse("fence")
	}
	task, run := order.text("task"), order.number("run")
	e.closed[task] = max(e.closed[task], run)
	if x := e.runs[task]; x != nil && x.run <= run && x.stopping.IsZero() {
		x.stopping = time.Now().Add(stopTime)
		e.r.note("%s is told to stop %s run %d, at %d percent", e.id, task, run, x.percent())
	}
	return http.StatusOK, e.answer(nil)
}

func (e *executor) executePace(order object) (int, object) {
	if !e.obeys(order) {
		return e.refuse("fence")
	}
	if x := e.runs[order.text("task")]; x != nil && x.run == order.number("run") {
		x.pace = order.number("percent")
		e.r.note("%s is told to pace %s run %d at %d percent", e.id, x.task, x.run, x.pace)
	}
	return http.StatusOK, e.answer(nil)
}

// setLoad sets the load of the tasks that serve, as a factor of their tails.
func (e *executor) setLoad(load float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = load
}

// atWork counts the lasting tasks that are at work.
func (e *executor) atWork() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, x := range e.runs {
		if x.working {
			count++
		}
	}
	return count
}

// executeHold extends the lease and lists the runs. Its answer waits for an end if the order says so.
func (e *executor) executeHold(order object) (int, object) {
	if !e.obeys(order) {
		return e.refuse("fence")
	}
	e.extend(order)
	noted := order.number(word("noted"))
	for _, x := range e.ends {
		if x.number <= noted {
			e.r.note("%s is told that the end of %s run %d is noted", e.id, x.task, x.run)
			e.r.addNoted(x)
		}
	}
	e.ends = slices.DeleteFunc(e.ends, func(x endedRun) bool { return x.number <= noted })
	until := time.Now().Add(time.Duration(order.number(word("wait"))) * time.Millisecond)
	for len(e.ends) == 0 && time.Now().Before(until) && e.life.Err() == nil {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-e.life.Done():
		case <-time.After(time.Until(until)):
		}
		e.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range e.runs {
		running = append(running, []any{x.task, x.run, x.saved, x.percent(), e.figure(x)})
	}
	for _, x := range e.ends[:min(len(e.ends), mostEnds)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, x.saved})
	}
	listing := e.answer(object{"running": running, word("ended"): ended})
	e.mu.Unlock()
	time.Sleep(holdTick - time.Since(e.born)%holdTick)
	e.mu.Lock()
	return http.StatusOK, listing
}

// percent returns how far a run is.
func (x *execution) percent() int64 {
	if x.Lasts {
		return min(100, int64(100*time.Since(x.began)/startUp))
	}
	return min(99, x.done.Milliseconds()*100/max(1, x.MS))
}

// disturbance is how much a filling task that uses a whole executor raises the tails beside it, as a factor.
const disturbance = 2.0

// figure returns the tail of a task that serves in milliseconds, and the cpu in use of any other.
func (e *executor) figure(x *execution) int64 {
	if x.Tail == 0 {
		return x.CPU * x.pace / 100
	}
	share := 0.0
	for _, other := range e.runs {
		if other.Fills {
			share += float64(other.CPU*other.pace) / 100 / float64(e.cpu)
		}
	}
	return int64(float64(x.Tail) * e.load * (1 + disturbance*share))
}

// advance lets the runs work for a tick, and ends them where they are due.
func (e *executor) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	lapsed := e.deadline != 0 && e.clock() >= e.deadline
	for _, x := range e.runs {
		switch {
		case lapsed:
			e.endRun(x, "lapsed")
			continue
		case !x.stopping.IsZero():
			if time.Now().After(x.stopping) {
				e.endRun(x, "stopped")
			}
			continue
		}
		if x.Dies > 0 && time.Since(x.began).Milliseconds() >= x.Dies {
			e.endRun(x, "failed")
			continue
		}
		x.done += workTick * time.Duration(x.pace) / 100
		if saved := x.done.Milliseconds() / saveEvery * saveEvery; saved > 0 && x.Saves {
			x.saved = fmt.Sprint(saved)
		}
		if x.Lasts && !x.working && x.percent() == 100 {
			x.working = true
			e.r.away.returned(x.task)
		}
		if x.Lasts || x.done.Milliseconds() < x.MS {
			continue
		}
		how := "done"
		if x.run <= x.Fails {
			how = "failed"
		}
		e.endRun(x, how)
	}
}

// endRun lists the end of a run. The caller holds the mutex.
func (e *executor) endRun(x *execution, how string) {
	delete(e.runs, x.task)
	e.closed[x.task] = max(e.closed[x.task], x.run)
	e.lastEnd++
	e.ends = append(e.ends, endedRun{number: e.lastEnd, task: x.task, run: x.run, how: how, saved: x.saved})
	e.r.note("%s ends %s run %d: %s", e.id, x.task, x.run, how)
	if how == "failed" {
		e.r.addFailure()
	}
	if how == "stopped" && x.working && !e.draining {
		if others := e.r.away.ended(x.task, e.r.now()); others != nil {
			e.r.note("%s was at work and was stopped while these were away: %v", x.task, others)
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// checkIn sends one check-in, to the address that the last answer named or to the members in turn.
func (e *executor) checkIn() {
	e.mu.Lock()
	e.sequence++
	state := "ready"
	body := object{
		"service": pool, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, word("cold"): 0,
		"room": object{"cpu": e.cpu, word("memory"): 64000, "gpu": 0}, "labels": []string{e.label, "r-" + e.zone},
		"machine": "m-" + e.id, word("clock"): e.clock(), "born": e.born.UnixMilli(), "seq": e.sequence,
	}
	if e.draining {
		state = "draining"
		body["remaining-ms"] = 2000
	}
	body["state"] = state
	addresses := append([]string{e.next}, e.r.memberAddresses()...)
	e.mu.Unlock()
	for _, address := range addresses {
		if address == "" {
			continue
		}
		status, answer, err := e.r.call(http.MethodPut, address, word("advertise")+e.id, "", body, time.Second)
		if err != nil || status != http.StatusOK {
			continue
		}
		e.mu.Lock()
		e.next = answer.text(word("next"))
		if state == "draining" && e.drained.IsZero() {
			e.drained = time.Now()
			e.r.note("%s says that it drains, and that is acknowledged", e.id)
		}
		e.mu.Unlock()
		return
	}
}

var errNotDrained = errors.New("no member acknowledged that the executor drains")

// leaveOnceIdle drains the executor. It leaves after the drain time, as soon as nothing runs on it any more.
func (e *executor) leaveOnceIdle(drainTime time.Duration) error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.checkIn()
	e.mu.Lock()
	drained := e.drained
	e.mu.Unlock()
	if drained.IsZero() {
		return errNotDrained
	}
	time.Sleep(time.Until(drained.Add(drainTime)))
	e.mu.Lock()
	for len(e.runs) > 0 {
		changed := e.changed
		e.mu.Unlock()
		<-changed
		e.mu.Lock()
	}
	e.mu.Unlock()
	e.r.note("%s runs nothing any more and leaves", e.id)
	for _, address := range e.r.memberAddresses() {
		status, _, err := e.r.call(http.MethodDelete, address, word("advertise")+e.id, "", object{"born": e.born.UnixMilli()}, time.Second)
		if err == nil && status/100 == 2 {
			break
		}
	}
	e.r.note("%s has left", e.id)
	e.end()
	return nil
}
