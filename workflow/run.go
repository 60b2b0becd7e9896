package workflow

import "daisyswitch/wire"

// start commits a task to a worker, and refuses what does not fit or is overtaken.
func (t *Tables) start(s *wire.RunStart) bool {
	task := t.Task(NameOf(s.GetTask()))
	worker := t.Workers[s.GetWorker()]
	if task == nil || worker == nil || worker.GetBorn() != s.GetBorn() {
		return false
	}
	if !task.Waits() || s.GetRun() <= task.Run || worker.GetLeaving() || t.Out[worker.GetDomain()] || !worker.Fits(task.Step.Spec) {
		return false
	}
	task.Run, task.Worker, task.Ticket = s.GetRun(), worker, s.GetTicket()
	task.Step.Job.Started = true
	worker.take(task)
	task.Step.Waiting--
	t.list(task.Step)
	t.assigned(task)
	return true
}

// end notes the end of a run; one that is not the task's current run counts only for what it achieved.
func (t *Tables) end(nowMS int64, e *wire.RunEnd) {
	if w := t.Workers[e.GetWorker()]; w != nil && w.GetBorn() == e.GetBorn() && e.GetNumber() > 0 {
		if e.GetNumber() <= w.Noted {
			return
		}
		w.Noted = e.GetNumber()
	}
	task := t.Task(NameOf(e.GetTask()))
	if task == nil || e.GetRun() > task.Run {
		return
	}
	current := task.Worker != nil && task.Worker.GetId() == e.GetWorker() && task.Worker.GetBorn() == e.GetBorn() && task.Run == e.GetRun()
	if !current && task.Worker != nil {
		return
	}
	if e.GetCheckpoint() != "" {
		t.keepCheckpoint(task, e.GetCheckpoint())
	}
	if current {
		t.free(task)
	}
	t.count(nowMS, task, e.GetOutcome())
}

func (t *Tables) keepCheckpoint(task *Task, checkpoint string) {
	if !task.Step.Spec.GetGang() {
		task.Checkpoint = checkpoint
		return
	}
	for _, member := range task.Step.Tasks {
		member.Checkpoint = checkpoint
	}
}

// free takes a task off its worker.
func (t *Tables) free(task *Task) {
	task.Worker.release(task)
	task.Worker, task.Ticket = nil, ""
	if task.Waits() {
		task.Step.Waiting++
	}
	t.list(task.Step)
}

func (t *Tables) count(nowMS int64, task *Task, outcome wire.RunOutcome) {
	switch outcome {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		t.done(nowMS, task)
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		task.Failures++
		t.failIfSpent(nowMS, task)
	}
}

func (t *Tables) done(nowMS int64, task *Task) {
	s := task.Step
	if task.Done || s.Spec.GetLasting() {
		return
	}
	members := []*Task{task}
	if s.Spec.GetGang() {
		members = s.Tasks
	}
	for _, member := range members {
		if member.Worker != nil {
			t.free(member)
		}
		if !member.Done {
			member.Done = true
			s.undone--
		}
	}
	t.recount(s)
	if s.undone == 0 {
		t.stepDone(nowMS, s)
	}
}

func (t *Tables) stepDone(nowMS int64, s *Step) {
	j := s.Job
	j.open--
	if j.open == 0 && !j.Cancelled && !j.Failed {
		j.EndedMS = nowMS
		t.ended(j)
	}
	for _, later := range s.next {
		later.before--
		t.recount(later)
	}
}

// failIfSpent fails the job once a task that can end has used up its attempts.
func (t *Tables) failIfSpent(nowMS int64, task *Task) {
	j, failures := task.Step.Job, task.Failures
	if task.Step.Spec.GetGang() {
		failures = task.Step.Failures()
	}
	if task.Step.Spec.GetLasting() || failures < j.Queue.GetMaxAttempts() || !j.Open() {
		return
	}
	j.Failed, j.EndedMS = true, nowMS
	t.offer(j)
	t.closed(j)
	t.ended(j)
}
