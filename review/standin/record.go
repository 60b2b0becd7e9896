package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// mostShown is how many broken rules are printed; all are in the record.
const mostShown = 10

// record writes down what was sent, answered and run, and keeps what the checks need.
type record struct {
	began time.Time

	mu         sync.Mutex // guards the fields below
	file       *os.File
	violations []string
	failure    error                 // why the case could not run to its end, nil if it did
	runs       map[string][]*runSeen // by task
}

// runSeen is one run of a task as an executor has seen it.
type runSeen struct {
	task, executor, how string
	run                 int64
	start, end          time.Duration // end is 0 while it runs
	noted               bool          // the executor was told that its end has been seen, with no lapse of the lease between
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, runs: map[string][]*runSeen{}}, nil
}

func (r *record) now() time.Duration { return time.Since(r.began) }

// note writes one line: the time in seconds, what happened, and pairs of a key and a value.
func (r *record) note(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(what, pairs...)
}

// write is note for callers that hold the mutex.
func (r *record) write(what string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f %s", r.now().Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.file, line.String())
}

// broken notes that a rule was broken.
func (r *record) broken(rule, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := rule + ": " + fmt.Sprintf(format, a...)
	r.violations = append(r.violations, text)
	r.write("RULE BROKEN " + text)
}

// started notes the start of a run and returns it.
func (r *record) started(executor, task string, run int64) *runSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := &runSeen{task: task, executor: executor, run: run, start: r.now()}
	r.runs[task] = append(r.runs[task], seen)
	r.write("run starts", "task", task, "run", run, "executor", executor)
	return seen
}

// ended notes the end of a run.
func (r *record) ended(seen *runSeen, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen.end, seen.how = r.now(), how
	r.write("run ends", "task", seen.task, "run", seen.run, "executor", seen.executor, "how", how)
}

// checkTogether reports runs of one task that were at work at the same time, on executors that were up.
func (r *record) checkTogether() {
	for _, runs := range r.byTask() {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if b.start < a.start {
					a, b = b, a
				}
				if a.end == 0 || b.start < a.end {
					r.broken("TWICE", "run %d of %s began on %s at %.3f s, while run %d was at work on %s", b.run, b.task, b.executor, b.start.Seconds(), a.run, a.executor)
				}
			}
		}
	}
}

// checkAfterDone reports runs that began after an earlier run of the task had ended `done`, if that end was taken note of.
func (r *record) checkAfterDone() {
	for _, runs := range r.byTask() {
		for _, a := range runs {
			for _, b := range runs {
				if a.how == "done" && a.noted && b.start >= a.end {
					r.broken("TWICE", "run %d of %s began on %s at %.3f s, after run %d had ended done on %s at %.3f s", b.run, b.task, b.executor, b.start.Seconds(), a.run, a.executor, a.end.Seconds())
				}
			}
		}
	}
}

// byTask returns copies of all runs by task.
func (r *record) byTask() map[string][]runSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string][]runSeen{}
	for task, runs := range r.runs {
		for _, seen := range runs {
			all[task] = append(all[task], *seen)
		}
	}
	return all
}

// begun reports whether a task of a submission has ever run, and whether one is at work now.
func (r *record) begun(id string) (ever, now bool) {
	for task, runs := range r.byTask() {
		if !strings.HasPrefix(task, id+".") {
			continue
		}
		for _, seen := range runs {
			ever = true
			now = now || seen.end == 0
		}
	}
	return ever, now
}

// markNoted records that the end of a run was taken note of.
func (r *record) markNoted(seen *runSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen.noted = true
}

func (r *record) cannotRun(err error) int {
	r.note("cannot run", "cause", err)
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	return exitCannotRun
}

// fail notes that the case cannot be judged.
func (r *record) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = err
	r.write("failure", "cause", err)
}

// verdict returns the exit code.
func (r *record) verdict() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure != nil {
		r.write("cannot run", "cause", r.failure)
		fmt.Fprintln(os.Stderr, "cannot run:", r.failure)
		return exitCannotRun
	}
	if len(r.violations) == 0 {
		r.write("the rule held")
		return exitHeld
	}
	shown := r.violations[:min(len(r.violations), mostShown)]
	fmt.Println(strings.Join(shown, "\n"))
	if more := len(r.violations) - len(shown); more > 0 {
		fmt.Println("and", more, "more")
	}
	return exitBroken
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Close()
}
