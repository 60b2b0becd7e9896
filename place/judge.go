package place

import (
	"fmt"
	"strings"

	"daisyswitch/event"
	"daisyswitch/fleet"
	"daisyswitch/wire"
)

// OutOfMemory is the prefix of the reason with which a worker reports a task that was killed for lack of memory. Such a task was committed too little memory, so the failure counts against neither the job nor the worker.
const OutOfMemory = "out_of_memory"

// recordOutcome updates the failure records of the worker and the job from a task's transition.
func (p *Placer) recordOutcome(t *fleet.Task, next *wire.Task) {
	w := t.Worker
	if w == nil || t.Decision == fleet.DecidedStart {
		return
	}
	failed := next.GetFailures() > t.Failures || next.GetState() == wire.TaskState_TASK_STATE_FAILED
	failed = failed && !next.GetCancelled() // a cancelled task that stops has not failed
	switch {
	case next.GetState() == wire.TaskState_TASK_STATE_DONE:
		t.Job.Blame.Succeeded()
		p.recordSuccess(w)
	case failed && strings.HasPrefix(next.GetReason(), OutOfMemory):
		t.Job.Memory = max(t.Job.Memory, t.Committed.MemoryMiB*3/2)
	case failed:
		t.FailedOn = w
		p.recordFailure(t.Job, w)
	}
}

func (p *Placer) recordSuccess(w *fleet.Worker) {
	if w.Blame.Succeeded(&p.options.Blame) {
		event.WorkerTrusted.Info("worker", w.Name)
		p.fleet.UpdateIndex(w)
	}
}

func (p *Placer) recordFailure(j *fleet.Job, w *fleet.Worker) {
	suspected := j.Blame.Suspected()
	j.Blame.Failed(w.Name)
	if !suspected && w.Blame.Failed(p.fleet.Now, j.ID, &p.options.Blame) {
		event.WorkerSuspended.Info("worker", w.Name)
		p.suspended = append(p.suspended, w)
		p.fleet.UpdateIndex(w)
	}
	if !j.GivenUp && j.Blame.Bad(p.workerTrusted, &p.options.Blame) {
		event.JobGivenUp.Info("job", j.ID)
		j.GivenUp = true
		p.failingJobs = append(p.failingJobs, j)
	}
}

func (p *Placer) workerTrusted(name string) bool {
	w := p.fleet.Workers[name]
	return w != nil && w.Blame.Trusted()
}

// giveUpJobs ends the waiting tasks of jobs that failed on too many trusted workers.
func (p *Placer) giveUpJobs() {
	reason := fmt.Sprintf("failed on %d workers that run other jobs well", p.options.Blame.Workers)
	kept := p.failingJobs[:0]
	for _, j := range p.failingJobs {
		for j.NextTask() != nil && len(p.events) < p.options.MaxEvents {
			p.endWaiting(j.NextTask(), wire.TaskEventKind_TASK_EVENT_KIND_GIVE_UP, reason)
		}
		if len(j.Tasks) > 0 {
			kept = append(kept, j)
		}
	}
	p.failingJobs = kept
}
