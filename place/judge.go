package place

import (
	"fmt"

	"daisyswitch/event"
	"daisyswitch/wire"
)

// judge reads a transition for what it says about the worker and the job.
func (p *Placer) judge(t *task, next *wire.Task) {
	w := t.worker
	if w == nil || t.decision == decidedStart {
		return
	}
	state := next.GetState()
	switch {
	case state == wire.TaskState_TASK_STATE_DONE:
		t.job.blame.Succeeded()
		p.credit(w)
	case next.GetFailures() > t.failures, state == wire.TaskState_TASK_STATE_FAILED:
		t.failedOn = w
		p.blame(t.job, w)
	}
}

func (p *Placer) credit(w *worker) {
	if w.blame.Succeeded(&p.options.Blame) {
		event.WorkerTrusted.Info("worker", w.name)
		p.offer(w)
	}
}

func (p *Placer) blame(j *job, w *worker) {
	suspected := j.blame.Suspected()
	j.blame.Failed(w.name)
	if !suspected && w.blame.Failed(p.now, j.GetId(), &p.options.Blame) {
		event.WorkerSuspended.Info("worker", w.name)
		p.suspended = append(p.suspended, w)
		p.offer(w)
	}
	if !j.givenUp && j.blame.Bad(p.trusted, &p.options.Blame) {
		event.JobGivenUp.Info("job", j.GetId())
		j.givenUp = true
		p.bad = append(p.bad, j)
	}
}

func (p *Placer) trusted(name string) bool {
	w := p.workers[name]
	return w != nil && w.blame.Trusted()
}

// giveUp ends the waiting tasks of bad jobs.
func (d *round) giveUp() {
	kept := d.bad[:0]
	for _, j := range d.bad {
		for j.queue.first != nil && len(d.Events) < d.options.MaxEvents {
			d.end(j.queue.first, wire.TaskEventKind_TASK_EVENT_KIND_GIVE_UP,
				fmt.Sprintf("failed on %d workers that run other jobs well", d.options.Blame.Workers))
		}
		if len(j.tasks) > 0 {
			kept = append(kept, j)
		}
	}
	d.bad = kept
}
