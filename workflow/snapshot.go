package workflow

import (
	"fmt"
	"slices"
	"sort"

	"daisyswitch/wire"
)

// Snapshot returns the complete state.
func (t *Table) Snapshot() *wire.WorkflowState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := &wire.WorkflowState{Queues: t.Queues}
	for _, j := range t.Jobs {
		s.Workflows = append(s.Workflows, j.record())
	}
	sort.Slice(s.Workflows, func(i, k int) bool { return s.Workflows[i].Workflow.Id < s.Workflows[k].Workflow.Id })
	for _, w := range t.Workers {
		s.Workers = append(s.Workers, &wire.WorkerEnds{Worker: w.CalledWorker, Noted: w.Noted, LateEnds: slices.Clone(w.LateEnds)})
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
	r := &wire.WorkflowRecord{Workflow: j.Spec, AcceptedMs: j.AcceptedMS, Cancelled: j.Cancelled, Failed: j.Failed, EndedMs: j.EndedMS, Queue: j.Queue, Started: j.Begun}
	for _, s := range j.Steps {
		step := &wire.StepRecord{Failures: s.Failures, FailedRuns: s.failedRuns}
		if len(s.failedRuns) > 0 {
			step.FailedRun = slices.Max(s.failedRuns)
		}
		for _, t := range s.Tasks {
			step.Tasks = append(step.Tasks, t.record())
		}
		r.Steps = append(r.Steps, step)
	}
	return r
}

func (t *Task) record() *wire.TaskRecord {
	r := &wire.TaskRecord{Run: t.Run, Failures: t.Failures, FailedRuns: t.failedRuns, Done: t.Done, Checkpoint: t.Checkpoint, Ticket: t.Ticket, LateStart: t.LateStart}
	if t.Worker != nil {
		r.Worker, r.Born = t.Worker.GetId(), t.Born
	}
	return r
}

// Restore replaces the state by a snapshot. On an error the state is left unchanged.
func (t *Table) Restore(s *wire.WorkflowState) error {
	restored := emptyState(t.options)
	if s.GetQueues() != nil {
		restored.setQueues(s.GetQueues(), true)
	}
	for _, w := range s.GetWorkers() {
		restored.restoreWorker(w)
	}
	for _, r := range s.GetWorkflows() {
		if err := restored.restoreJob(r); err != nil {
			return fmt.Errorf("restore workflow %s: %w", r.GetWorkflow().GetId(), err)
		}
	}
	restored.indexPools()
	for _, w := range restored.Workers {
		restored.removeIfEnded(w)
	}
	for _, domain := range s.GetDomainsOut() {
		restored.Out[domain] = true
	}
	for _, w := range s.GetWaves() {
		restored.Waves[w.GetNumber()] = w
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Tables = restored
	t.options.Changed()
	return nil
}

func (t *Tables) restoreWorker(w *wire.WorkerEnds) {
	if w.GetWorker().GetGone() {
		t.restoreGone(w.GetWorker())
		return
	}
	t.WorkerChanges++
	t.addIncarnation(w.GetWorker(), nil)
	restored := t.Workers[w.GetWorker().GetId()]
	restored.Noted, restored.LateEnds = w.GetNoted(), slices.Clone(w.GetLateEnds())
}

func (t *Tables) restoreJob(r *wire.WorkflowRecord) error {
	j := newJob(r.GetWorkflow(), r.GetQueue(), r.GetAcceptedMs())
	j.Cancelled, j.Failed, j.EndedMS, j.Begun = r.GetCancelled(), r.GetFailed(), r.GetEndedMs(), r.GetStarted()
	if len(r.GetSteps()) != len(j.Steps) {
		return fmt.Errorf("step count differs: %d in the snapshot, %d in the workflow's specification", len(r.GetSteps()), len(j.Steps))
	}
	for i, record := range r.GetSteps() {
		if len(record.GetTasks()) != len(j.Steps[i].Tasks) {
			return fmt.Errorf("task count of step %d differs: %d in the snapshot, %d in the workflow's specification", i, len(record.GetTasks()), len(j.Steps[i].Tasks))
		}
		j.Steps[i].attempts = restoreGangAttempts(record)
		for k, task := range record.GetTasks() {
			t.restoreTask(j.Steps[i].Tasks[k], task)
		}
	}
	for _, s := range j.Steps {
		if s.unfinishedTasks > 0 {
			continue
		}
		j.unfinishedSteps--
		for later := range s.successors() {
			later.pending--
		}
	}
	t.addJob(j)
	return nil
}

func (t *Tables) restoreTask(task *Task, r *wire.TaskRecord) {
	task.Run, task.Done, task.Checkpoint, task.Ticket, task.LateStart = r.GetRun(), r.GetDone(), r.GetCheckpoint(), r.GetTicket(), r.GetLateStart()
	task.attempts = attempts{Failures: r.GetFailures(), failedRuns: slices.Clip(r.GetFailedRuns())}
	if task.Done {
		task.Step.unfinishedTasks--
	}
	if w := t.Workers[r.GetWorker()]; w != nil && w.GetBorn() >= r.GetBorn() {
		task.Worker, task.Born = w, r.GetBorn()
		t.addTask(w, task)
	}
}

func restoreGangAttempts(r *wire.StepRecord) attempts {
	a := attempts{Failures: r.GetFailures(), failedRuns: slices.Clip(r.GetFailedRuns())}
	if a.Failures > 0 && len(a.failedRuns) == 0 { // an earlier build kept the highest run only
		a.failedRuns = []int32{r.GetFailedRun()}
	}
	return a
}
