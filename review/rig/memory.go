package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// platform kills processes that use more memory than their machine has, and starts processes that have ended again.
type platform struct {
	r       *rig
	stop    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	killed  map[string]int
}

// Figures of the machines of members, from the users' pages.
const (
	memberMiB    = 280
	restartDelay = 500 * time.Millisecond
)

func (r *rig) newPlatform() *platform {
	p := &platform{r: r, stop: make(chan struct{}), killed: map[string]int{}}
	p.running.Add(1)
	go p.watch()
	return p
}

// watch checks the memory of all members. They are started by this goroutine again, so it keeps its thread.
func (p *platform) watch() {
	defer p.running.Done()
	starts := map[*process]time.Time{}
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, m := range p.r.members {
			if at, down := starts[m]; down {
				if time.Now().After(at) {
					delete(starts, m)
					p.r.restart <- m
				}
				continue
			}
			if used := m.memoryMiB(); used > memberMiB {
				p.mu.Lock()
				p.killed[m.name]++
				p.mu.Unlock()
				p.r.note("platform: %s uses %d MiB of %d and is killed", m.name, used, memberMiB)
				m.kill()
				starts[m] = time.Now().Add(restartDelay)
			}
		}
	}
}

// close ends the watch and returns how often each member was killed.
func (p *platform) close() map[string]int {
	close(p.stop)
	p.running.Wait()
	return p.killed
}

// timedCase hands in a few timed submissions of many steps. No member may use more memory than its machine has, and what was accepted before must stay known.
func timedCase(r *rig) (bool, error) { return r.playOverload((*rig).sendTimed) }

// tasksCase does the same with many submissions of many small tasks, within some seconds.
func tasksCase(r *rig) (bool, error) { return r.playOverload((*rig).sendTasks) }

// playOverload has a submission accepted, and then others that use much memory, by a function that sends them.
func (r *rig) playOverload(send func(*rig, queue)) (bool, error) {
	q := queue{name: "r-d3zji9n", prefix: "/pufi791/", attempts: 2}
	if err := r.configure(1, q); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := r.newExecutor(i, 64000, "a"); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	before := q.prefix + "5c0e7a21d94b36f8"
	if err := r.submit(before, submission(work{MS: 20000, CPU: 1000}, object{"count": 1, "cpu": 1000, word("memory"): 256, word("estimate"): 20000})); err != nil {
		return false, err
	}
	p := r.newPlatform()
	var sending sync.WaitGroup
	if r.trouble {
		sending.Add(1)
		go func() {
			defer sending.Done()
			send(r, q)
		}()
	}
	for until := time.Now().Add(45 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		r.restartMembers()
	}
	sending.Wait()
	last := r.awaitState(before, 14*time.Second, "completed", "failed")
	killed := p.close()
	often := 0
	for _, m := range r.members {
		r.note("%s was over its memory %d times", m.name, killed[m.name])
		if killed[m.name] >= 3 {
			often++
		}
	}
	r.note("submission %s, accepted before: %s", before, last)
	answered := slices.Contains([]string{"queued", "running", "completed", "failed", "cancelled"}, last)
	return 2*often > len(r.members) || !answered, nil
}

// longestSending is how long callers go on with what they send.
const longestSending = 30 * time.Second

// sendTimed hands in submissions of one caller, one after the other, each again until it is accepted. Each of their steps comes after all earlier ones, and the first of their times is tomorrow.
func (r *rig) sendTimed(q queue) {
	const submissions, steps, days, day = 12, 340, 58, 24 * time.Hour
	all, earlier := []object{}, []int{}
	for number := range steps {
		step := object{"count": 1, "cpu": 1000, word("memory"): 256, word("estimate"): 1000}
		if number > 0 {
			step["after"] = slices.Clone(earlier)
		}
		all, earlier = append(all, step), append(earlier, number)
	}
	body := submission(work{MS: 1000, CPU: 1000}, all...)
	body[word("times")], body[word("first time")], body[word("interval")] = days, time.Now().Add(day).UnixMilli(), day.Milliseconds()
	accepted, tries := 0, 0
	for until := time.Now().Add(longestSending); accepted < submissions && time.Now().Before(until); tries++ {
		status, _, err := r.ask(tries%gates, http.MethodPost, fmt.Sprintf("%s%016x", q.prefix, 0x6c0e7a21d94b36f8+accepted), body, 3*time.Second)
		if err == nil && status == http.StatusOK {
			accepted++
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.note("%d of %d submissions of %d steps for %d days were accepted", accepted, submissions, steps, days)
}

// sendTasks hands in the submissions of eight callers, each once.
func (r *rig) sendTasks(q queue) {
	const submissions, tasks, callers = 2400, 2000, 8
	var accepted atomic.Int64
	var sending sync.WaitGroup
	for caller := range callers {
		sending.Add(1)
		go func() {
			defer sending.Done()
			accepted.Add(r.sendMany(q.prefix, caller*submissions/callers, submissions/callers, tasks))
		}()
	}
	sending.Wait()
	r.note("%d of %d submissions of %d tasks were accepted", accepted.Load(), submissions, tasks)
}

// sendMany hands in a number of submissions, each once, and returns how many were accepted. It gives up after a while.
func (r *rig) sendMany(prefix string, first, count, tasks int) int64 {
	body := submission(work{MS: 2000, CPU: 4000}, object{"count": tasks, "cpu": 4000, word("memory"): 256, word("estimate"): 2000})
	accepted := int64(0)
	for n, until := first, time.Now().Add(longestSending); n < first+count && time.Now().Before(until); n++ {
		status, _, err := r.ask(n%gates, http.MethodPost, fmt.Sprintf("%s%016x", prefix, 0x6c0e7a21d94b36f8+n), body, 3*time.Second)
		if err == nil && status == http.StatusOK {
			accepted++
		}
	}
	return accepted
}

// restartMembers starts the members again that the platform has killed.
func (r *rig) restartMembers() {
	for {
		select {
		case m := <-r.restart:
			m.settings["first"] = 0
			if err := m.start(); err != nil {
				r.note("%s could not be started: %v", m.name, err)
			}
		default:
			return
		}
	}
}
