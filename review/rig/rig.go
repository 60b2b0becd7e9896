package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	pool          = "huvo11a" // service of all executors
	mostExecutors = 16
	members       = 3
	gates         = 2
)

// Ports, counted from the first of the range; the same on all machines.
const (
	portInner = iota
	portAdmin
	portOuter
	portReady
	portExecutor
	ports
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// rig is an installation of the project's processes with stand-ins around it.
type rig struct {
	program  string
	trouble  bool
	dir      string
	keep     string
	port     int // first of the range
	began    time.Time
	members  []*process
	gateways []*process
	life     chan struct{} // closed when the stand-ins end
	running  sync.WaitGroup
	away     awayTasks
	restart  chan *process // members that are to be started again

	mu        sync.Mutex // guards the fields below
	record    *os.File
	executors []*executor
	starts    []runStart
	failures  []time.Duration          // when runs ended as failed
	done      map[string]time.Duration // by task, when the end of a run that was done was noted
}

// runStart is a start that an executor has executed.
type runStart struct {
	at       time.Duration
	executor string
	task     string
	run      int64
}

func newRig(program, record string, trouble bool) (*rig, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	r := &rig{program: program, trouble: trouble, dir: dir, began: time.Now(), record: file, life: make(chan struct{}), restart: make(chan *process, members), done: map[string]time.Duration{}}
	r.port, err = freePorts()
	return r, err
}

// Addresses of the machines on the loopback network.
func memberIP(i int) string   { return fmt.Sprintf("127.0.0.%d", 2+i) }
func listenIP(i int) string   { return fmt.Sprintf("127.0.0.%d", 6+i) } // of a member, behind its forwarder
func gatewayIP(i int) string  { return fmt.Sprintf("127.0.0.%d", 11+i) }
func executorIP(i int) string { return fmt.Sprintf("127.0.0.%d", 21+i) }
func hiddenIP(i int) string   { return fmt.Sprintf("127.0.0.%d", 41+i) } // of an executor behind a proxy

func (r *rig) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, r.port+port) }

// freePorts returns the first of a range of ports that are free on all addresses.
func freePorts() (int, error) {
	for first := 20000 + int(time.Now().UnixNano()/1000%10000); first < 32000; first += ports {
		if portsAreFree(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no range of %d free ports", ports)
}

func portsAreFree(first int) bool {
	ips := []string{}
	for i := range members {
		ips = append(ips, memberIP(i), listenIP(i))
	}
	for i := range gates {
		ips = append(ips, gatewayIP(i))
	}
	for i := range mostExecutors {
		ips = append(ips, executorIP(i), hiddenIP(i))
	}
	for _, ip := range ips {
		for port := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// now returns the time since the case began.
func (r *rig) now() time.Duration { return time.Since(r.began) }

// note writes a line to the record.
func (r *rig) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, values...))
}

// start starts the members and gateways and waits until all are ready.
func (r *rig) start() error {
	seeds := []object{}
	for i := range members {
		seeds = append(seeds, object{"address": r.address(memberIP(i), portOuter)})
	}
	for i := range members {
		r.members = append(r.members, r.newProcess("member", fmt.Sprintf("core-%d", i+1), zones[i], memberIP(i), object{
			"announcements": r.address(memberIP(i), portOuter), "data": filepath.Join(r.dir, fmt.Sprintf("data-%d", i+1)), "seeds": seeds,
			"first": 1, "losses": 1, "longest_lease_ms": 6000, "lease_margin_ms": 2500, "inner_listen": r.address(listenIP(i), portInner),
		}, "280", "4096"))
		f, err := newForwarder(r.address(memberIP(i), portInner), r.address(listenIP(i), portInner))
		if err != nil {
			return err
		}
		r.members[i].forwarder = f
	}
	for i := range gates {
		r.gateways = append(r.gateways, r.newProcess("gateway", fmt.Sprintf("front-%d", i+1), zones[i], gatewayIP(i), object{
			"clients": r.address(gatewayIP(i), portOuter), "ready": r.address(gatewayIP(i), portReady), "seeds": seeds, "drain_ms": 2500,
		}, "284", "4100"))
	}
	for _, p := range append(append([]*process{}, r.members...), r.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return r.await(30*time.Second, "all processes are ready", func() bool {
		for _, p := range append(append([]*process{}, r.members...), r.gateways...) {
			if !p.ready() {
				return false
			}
		}
		return true
	})
}

// await waits until a condition holds.
func (r *rig) await(most time.Duration, what string, holds func() bool) error {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", most, what)
}

// close ends the stand-ins and the processes.
func (r *rig) close() error {
	close(r.life)
	r.mu.Lock()
	executors := r.executors
	r.mu.Unlock()
	for _, e := range executors {
		e.end()
	}
	r.killAll()
	for _, m := range r.members {
		if m.forwarder != nil {
			m.forwarder.close()
		}
	}
	r.running.Wait()
	if r.keep != "" {
		return os.Rename(r.dir, r.keep)
	}
	return os.RemoveAll(r.dir)
}

func (r *rig) killAll() {
	for _, p := range append(append([]*process{}, r.members...), r.gateways...) {
		p.kill()
	}
}

// addStart keeps an executed start.
func (r *rig) addStart(s runStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
}

// addFailure keeps when a run ended as failed.
func (r *rig) addFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, r.now())
}

// failuresSince counts the runs that ended as failed after a time.
func (r *rig) failuresSince(at time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, f := range r.failures {
		if f > at {
			count++
		}
	}
	return count
}

// addNoted keeps when the end of a run was noted, if the run was done.
func (r *rig) addNoted(x endedRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.how == "done" {
		r.done[x.task] = r.now()
	}
}

// startsOfDone returns the starts of tasks that were executed after the end of a done run had been noted.
func (r *rig) startsOfDone(since time.Duration) []runStart {
	var again []runStart
	for _, s := range r.startsSince(since) {
		r.mu.Lock()
		at, done := r.done[s.task]
		r.mu.Unlock()
		if done && s.at > at {
			again = append(again, s)
		}
	}
	return again
}

// startsSince returns the starts that were executed after a time.
func (r *rig) startsSince(at time.Duration) []runStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	var later []runStart
	for _, s := range r.starts {
		if s.at > at {
			later = append(later, s)
		}
	}
	return later
}
