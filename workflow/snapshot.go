package workflow

import (
	"fmt"
	"sort"

	"daisyswitch/wire"
)

// Snapshot returns the whole state.
func (t *Table) Snapshot() *wire.WorkflowState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := &wire.WorkflowState{Queues: t.Queues}
	for _, j := range t.Jobs {
		s.Workflows = append(s.Workflows, j.record())
	}
	sort.Slice(s.Workflows, func(i, k int) bool { return s.Workflows[i].Workflow.Id < s.Workflows[k].Workflow.Id })
	for _, w := range t.Workers {
		s.Workers = append(s.Workers, &wire.WorkerEnds{Worker: w.CalledWorker, Noted: w.Noted})
	}
	for _, w := range t.gone {
		s.Workers = append(s.Workers, &wire.WorkerEnds{Worker: w})
	}
	sort.Slice(s.Workers, func(i, k int) bool { return s.Workers[i].Worker.Id < s.Workers[k].Worker.Id })
	for domain := range t.Out {
		s.DomainsOut = append(s.DomainsOut, domain)
	}
	sort.Strings(s.DomainsOut)
	for _, w := range t.Waves {
		s.Waves = append(s.Waves, &wire.Wave{
			Number: w.Number, Machines: w.Machines, DurationMs: w.DurationMs, AtOnce: w.AtOnce,
			StartedMs: w.StartedMs, Begun: append([]string(nil), w.Begun...),
		})
	}
	sort.Slice(s.Waves, func(i, k int) bool { return s.Waves[i].Number < s.Waves[k].Number })
	return s
}

func (j *Job) record() *wire.WorkflowRecord {
	r := &wire.WorkflowRecord{Workflow: j.Spec, AcceptedMs: j.AcceptedMS, Cancelled: j.Cancelled, Failed: j.Failed, EndedMs: j.EndedMS, Queue: j.Queue, Started: j.Started}
	for _, s := range j.Steps {
		step := &wire.StepRecord{}
		for _, t := range s.Tasks {
			step.Tasks = append(step.Tasks, t.record())
		}
		r.Steps = append(r.Steps, step)
	}
	return r
}

func (t *Task) record() *wire.TaskRecord {
	r := &wire.TaskRecord{Run: t.Run, Failures: t.Failures, Done: t.Done, Checkpoint: t.Checkpoint, Ticket: t.Ticket}
	if t.Worker != nil {
		r.Worker, r.Born = t.Worker.GetId(), t.Worker.GetBorn()
	}
	return r
}

// Restore replaces everything by a snapshot, whole or not at all.
func (t *Table) Restore(s *wire.WorkflowState) error {
	fresh := empty(t.o)
	if s.GetQueues() != nil {
		fresh.setQueues(s.GetQueues())
	}
	for _, w := range s.GetWorkers() {
		fresh.restoreWorker(w)
	}
	for _, r := range s.GetWorkflows() {
		if err := fresh.restoreJob(r); err != nil {
			return fmt.Errorf("restore workflow %s: %w", r.GetWorkflow().GetId(), err)
		}
	}
	for _, domain := range s.GetDomainsOut() {
		fresh.Out[domain] = true
	}
	for _, w := range s.GetWaves() {
		fresh.Waves[w.GetNumber()] = w
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Tables = fresh
	t.o.Changed()
	return nil
}

func (t *Tables) restoreWorker(w *wire.WorkerEnds) {
	if w.GetWorker().GetGone() {
		t.gone[w.GetWorker().GetId()] = w.GetWorker()
		return
	}
	t.setWorker(w.GetWorker())
	t.Workers[w.GetWorker().GetId()].Noted = w.GetNoted()
}

func (t *Tables) restoreJob(r *wire.WorkflowRecord) error {
	j := newJob(r.GetWorkflow(), r.GetQueue(), r.GetAcceptedMs())
	j.Cancelled, j.Failed, j.EndedMS, j.Started = r.GetCancelled(), r.GetFailed(), r.GetEndedMs(), r.GetStarted()
	if len(r.GetSteps()) != len(j.Steps) {
		return fmt.Errorf("the record has %d steps and the workflow %d", len(r.GetSteps()), len(j.Steps))
	}
	for i, record := range r.GetSteps() {
		if len(record.GetTasks()) != len(j.Steps[i].Tasks) {
			return fmt.Errorf("step %d has %d tasks in the record and %d in the workflow", i, len(record.GetTasks()), len(j.Steps[i].Tasks))
		}
		for k, task := range record.GetTasks() {
			t.restoreTask(j.Steps[i].Tasks[k], task)
		}
	}
	for _, s := range j.Steps {
		if s.undone > 0 {
			continue
		}
		j.open--
		for _, later := range s.next {
			later.before--
		}
	}
	t.Jobs[j.Spec.GetId()] = j
	t.offer(j)
	return nil
}

func (t *Tables) restoreTask(task *Task, r *wire.TaskRecord) {
	task.Run, task.Failures, task.Done, task.Checkpoint, task.Ticket = r.GetRun(), r.GetFailures(), r.GetDone(), r.GetCheckpoint(), r.GetTicket()
	if task.Done {
		task.Step.undone--
	}
	if w := t.Workers[r.GetWorker()]; w != nil && w.GetBorn() == r.GetBorn() {
		task.Worker = w
		w.take(task)
	}
}
