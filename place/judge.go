package place

import (
	"fmt"
	"strings"

	"daisyswitch/event"
	"daisyswitch/fleet"
	"daisyswitch/wire"
)

// OutOfMemory begins the reason of a task that its worker ended because memory ran out: it was given too little, which speaks against neither job nor worker.
const OutOfMemory = "out_of_memory"

// judge reads a transition for what it says about the worker and the job.
func (p *Placer) judge(t *fleet.Task, next *wire.Task) {
	w := t.Worker
	if w == nil || t.Decision == fleet.DecidedStart {
		return
	}
	failed := next.GetFailures() > t.Failures || next.GetState() == wire.TaskState_TASK_STATE_FAILED
	failed = failed && !next.GetCancelled() // stopping on order is no fault
	switch {
	case next.GetState() == wire.TaskState_TASK_STATE_DONE:
		t.Job.Blame.Succeeded()
		p.credit(w)
	case failed && strings.HasPrefix(next.GetReason(), OutOfMemory):
		t.Job.Memory = max(t.Job.Memory, t.Committed.MemoryMiB*3/2)
	case failed:
		t.FailedOn = w
		p.accuse(t.Job, w)
	}
}

func (p *Placer) credit(w *fleet.Worker) {
	if w.Blame.Succeeded(&p.options.Blame) {
		event.WorkerTrusted.Info("worker", w.Name)
		p.fleet.Offer(w)
	}
}

func (p *Placer) accuse(j *fleet.Job, w *fleet.Worker) {
	suspected := j.Blame.Suspected()
	j.Blame.Failed(w.Name)
	if !suspected && w.Blame.Failed(p.fleet.Now, j.ID, &p.options.Blame) {
		event.WorkerSuspended.Info("worker", w.Name)
		p.suspended = append(p.suspended, w)
		p.fleet.Offer(w)
	}
	if !j.GivenUp && j.Blame.Bad(p.trusted, &p.options.Blame) {
		event.JobGivenUp.Info("job", j.ID)
		j.GivenUp = true
		p.bad = append(p.bad, j)
	}
}

func (p *Placer) trusted(name string) bool {
	w := p.fleet.Workers[name]
	return w != nil && w.Blame.Trusted()
}

// giveUp ends the waiting tasks of bad jobs.
func (p *Placer) giveUp() {
	reason := fmt.Sprintf("failed on %d workers that run other jobs well", p.options.Blame.Workers)
	kept := p.bad[:0]
	for _, j := range p.bad {
		for j.NextTask() != nil && len(p.events) < p.options.MaxEvents {
			p.end(j.NextTask(), wire.TaskEventKind_TASK_EVENT_KIND_GIVE_UP, reason)
		}
		if len(j.Tasks) > 0 {
			kept = append(kept, j)
		}
	}
	p.bad = kept
}
