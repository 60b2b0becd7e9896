package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times and sizes of a worker.
const (
	announceInterval = 1500 * time.Millisecond
	announceTimeout  = time.Second
	stopTime         = 300 * time.Millisecond
	workTick         = 10 * time.Millisecond
	maxListedEnds    = 500
	workerMilliCPU   = 64000
	workerMemoryMB   = 256000
	clockAtStart     = 1000
)

// work is what a payload asks of a task.
type work struct {
	MS    int  `json:"ms"`    // duration of its work
	Lasts bool `json:"lasts"` // it runs until it is stopped
	Fails bool `json:"fails"` // it ends as failed
}

type order struct {
	Task, Spec           string
	Run                  int32
	Fence                uint64
	Deadline, Seen, Wait int64
}

type execution struct {
	order
	work
	began, stopAt time.Time
}

type ending struct {
	number  int64
	task    string
	run     int32
	outcome string
}

// worker is a stand-in of one incarnation of a worker: it executes orders under a lease, as the pages say.
type worker struct {
	d                         *deployment
	id, pool, address, domain string
	labels                    []string // its kind and its rack
	server                    *http.Server
	life                      context.Context
	cancel                    context.CancelFunc

	mu       sync.Mutex
	born     time.Time
	sequence int64
	fence    uint64
	deadline int64
	running  map[string]*execution
	closed   map[string]int32
	ends     []ending
	lastEnd  int64
	state    string
	acked    int // check-ins that were acknowledged
}

func newWorker(d *deployment, id, pool, address, domain string, labels []string) *worker {
	return &worker{d: d, id: id, pool: pool, address: address, domain: domain, labels: labels, state: "ready", running: map[string]*execution{}, closed: map[string]int32{}}
}

// start starts the worker's life.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.born = time.Now()
	w.life, w.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	for name, serve := range map[string]func(*order) (int, map[string]any){"start": w.runStart, "stop": w.runStop, "hold": w.hold, "pace": w.pace} {
		mux.HandleFunc("POST "+words[name], w.handler(serve))
	}
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(listener) //nolint:errcheck // ends with the worker
	go w.tick()
	go w.announce()
	return nil
}

// crash ends the worker without a word.
func (w *worker) crash() {
	w.mu.Lock()
	w.cancel()
	for _, e := range w.running {
		w.d.note("worker %s: run %d of %s ends with the worker", w.id, e.Run, e.Task)
	}
	w.running = map[string]*execution{}
	w.mu.Unlock()
	w.server.Close() //nolint:errcheck // its life is over
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + clockAtStart }

// handler decodes an order and answers it, with the worker locked meanwhile.
func (w *worker) handler(serve func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var body map[string]any
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get(words["expect_instance"]) != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		text := func(name string) string { s, _ := body[name].(string); return s }
		number := func(name string) int64 { n, _ := body[name].(float64); return int64(n) }
		o := &order{Task: text("task"), Spec: text("spec"), Run: int32(number("run")), Fence: uint64(number(words["fence"])), Deadline: number(words["deadline"]), Seen: number(words["last_seen"]), Wait: number(words["wait"])}
		w.mu.Lock()
		status, reply := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= w.fence {
			w.fence = o.Fence
			status, reply = serve(o)
		}
		reply[words["clock"]], reply["born"] = w.clock(), w.born.UnixMilli()
		ended := w.life.Err() != nil
		w.mu.Unlock()
		if ended {
			panic(http.ErrAbortHandler)
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		json.NewEncoder(rw).Encode(reply) //nolint:errcheck // the caller asks again
	}
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+longestLeaseMS))
}

func (w *worker) runStart(o *order) (int, map[string]any) {
	if e := w.running[o.Task]; e != nil && e.Run == o.Run {
		w.extend(o.Deadline)
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= w.closed[o.Task] {
		w.extend(o.Deadline)
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if o.Deadline <= w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extend(o.Deadline)
	e := &execution{order: *o, began: time.Now()}
	json.Unmarshal([]byte(o.Spec), &e.work) //nolint:errcheck // any other payload is work of no length
	w.running[o.Task] = e
	w.d.recordBegun(o.Task)
	w.d.note("worker %s (%s): run %d of %s starts", w.id, w.pool, o.Run, o.Task)
	return http.StatusOK, map[string]any{}
}

func (w *worker) runStop(o *order) (int, map[string]any) {
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if e := w.running[o.Task]; e != nil && e.Run <= o.Run && e.stopAt.IsZero() {
		e.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(*order) (int, map[string]any) { return http.StatusOK, map[string]any{} }

// hold extends the lease and lists the runs, once one has ended or the wait is over.
func (w *worker) hold(o *order) (int, map[string]any) {
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e ending) bool { return e.number <= o.Seen })
	until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for len(w.ends) == 0 && w.life.Err() == nil && time.Now().Before(until) {
		w.mu.Unlock()
		time.Sleep(workTick)
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, e := range w.running {
		running = append(running, []any{task, e.Run, "", e.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	return http.StatusOK, map[string]any{"running": running, words["ended"]: ended}
}

func (e *execution) percent() int {
	if e.Lasts || e.MS == 0 {
		return 100
	}
	return int(min(100, 100*time.Since(e.began).Milliseconds()/int64(e.MS)))
}

// tick ends runs whose work, stop or lease is over.
func (w *worker) tick() {
	ticker := time.NewTicker(workTick)
	defer ticker.Stop()
	for {
		select {
		case <-w.life.Done():
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		for _, e := range w.running {
			w.endIfOver(e)
		}
		w.mu.Unlock()
	}
}

func (w *worker) endIfOver(e *execution) {
	outcome := ""
	switch {
	case w.clock() >= w.deadline:
		outcome = "lapsed"
	case !e.stopAt.IsZero() && time.Now().After(e.stopAt):
		outcome = "stopped"
	case e.Lasts || time.Since(e.began) < time.Duration(e.MS)*time.Millisecond:
		return
	case e.Fails:
		outcome = "failed"
	default:
		outcome = "done"
	}
	delete(w.running, e.Task)
	w.closed[e.Task] = max(w.closed[e.Task], e.Run)
	w.lastEnd++
	w.ends = append(w.ends, ending{w.lastEnd, e.Task, e.Run, outcome})
	w.d.note("worker %s (%s): run %d of %s ends: %s", w.id, w.pool, e.Run, e.Task, outcome)
}

// runsOf returns the tasks of a workflow that run on the worker.
func (w *worker) runsOf(workflow string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for task := range w.running {
		if strings.HasPrefix(task, workflow+".") {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// announce checks in at a member until the worker ends.
func (w *worker) announce() {
	next := ""
	for w.life.Err() == nil {
		next = w.announceOnce(next)
		select {
		case <-w.life.Done():
		case <-time.After(announceInterval):
		}
	}
}

func (w *worker) announceOnce(next string) string {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{
		"service": w.pool, "address": w.address, "zone": w.domain, "version": "v1", "slots": 8, "state": w.state, words["cold_left"]: 0,
		"room": map[string]any{"cpu": workerMilliCPU, "mem-mb": workerMemoryMB, "gpu": 0}, "labels": w.labels,
		"machine": "m-" + w.address, words["clock"]: w.clock(), "born": w.born.UnixMilli(), "seq": w.sequence,
	}
	w.mu.Unlock()
	addresses := []string{}
	if next != "" {
		addresses = append(addresses, next)
	}
	for _, m := range w.d.members {
		addresses = append(addresses, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	for _, address := range addresses {
		status, reply, _ := w.d.send(w.life, http.MethodPut, "http://"+address+words["instances"]+w.id, "", body, announceTimeout)
		if status/100 != 2 {
			continue
		}
		w.mu.Lock()
		w.acked++
		w.mu.Unlock()
		if named, _ := reply[words["next"]].(string); named != "" {
			return named
		}
		return address
	}
	return ""
}
