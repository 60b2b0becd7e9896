package workflow

import "daisyswitch/wire"

// commitStart commits a task to a worker. It refuses a start that does not fit, that would exceed the quota of its workspace, or whose task or worker has changed since the decision.
func (t *Tables) commitStart(s *wire.RunStart) bool {
	task := t.Task(NameOf(s.GetTask()))
	worker := t.Workers[s.GetWorker()]
	if task == nil || worker == nil || worker.GetBorn() != s.GetBorn() {
		return false
	}
	if !task.Startable() || s.GetRun() <= task.Run || worker.GetLeaving() || t.Out[worker.GetDomain()] || !worker.Fits(task.Step.Spec) || !t.withinQuota(task) {
		return false
	}
	task.Run, task.Worker, task.Born, task.Ticket = s.GetRun(), worker, worker.GetBorn(), s.GetTicket()
	t.addTask(worker, task)
	task.Step.Waiting--
	t.updateWaitingSet(task.Step)
	t.onAssigned(task)
	return true
}

// recordEnd records the end of a run. If the task has no current run, a late end still counts for its checkpoint and outcome.
func (t *Tables) recordEnd(nowMS int64, e *wire.RunEnd) {
	w := t.Workers[e.GetWorker()]
	listed := w != nil && w.GetBorn() == e.GetBorn() && e.GetNumber() > 0
	if listed {
		if e.GetNumber() <= w.Noted {
			return
		}
		w.Noted = e.GetNumber()
	}
	task := t.Task(NameOf(e.GetTask()))
	if task == nil || e.GetRun() > task.Run {
		return
	}
	if listed {
		w.recordLateEnd(task, e)
	}
	current := task.Worker != nil && task.Worker.GetId() == e.GetWorker() && task.Worker.GetBorn() == e.GetBorn() && task.Run == e.GetRun()
	if !current && task.Worker != nil {
		return
	}
	if e.GetCheckpoint() != "" {
		t.keepCheckpoint(task, e.GetCheckpoint())
	}
	if current {
		t.releaseTask(task)
	}
	if e.GetOutcome() != wire.RunOutcome_RUN_OUTCOME_NOT_RUN {
		task.Step.Job.Begun = true
	}
	t.applyOutcome(nowMS, task, e)
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

// releaseTask releases a task from its worker, and removes a departed worker with its last task.
func (t *Tables) releaseTask(task *Task) {
	worker := task.Worker
	t.removeTask(task)
	task.Worker, task.Ticket = nil, ""
	t.removeIfEnded(worker)
	if task.Startable() {
		task.Step.Waiting++
	}
	t.updateWaitingSet(task.Step)
}

func (t *Tables) applyOutcome(nowMS int64, task *Task, e *wire.RunEnd) {
	switch e.GetOutcome() {
	case wire.RunOutcome_RUN_OUTCOME_DONE:
		t.completeTask(nowMS, task)
	case wire.RunOutcome_RUN_OUTCOME_FAILED:
		t.recordFailure(nowMS, task, e.GetRun())
	}
}

// recordFailure counts a failed run, and fails the job once its task or gang has used up its attempts. Lasting tasks are retried without limit.
func (t *Tables) recordFailure(nowMS int64, task *Task, run int32) {
	if task.Step.Spec.GetLasting() {
		return
	}
	a := &task.attempts
	if task.Step.Spec.GetGang() {
		a = &task.Step.attempts
	}
	a.recordFailure(run)
	if j := task.Step.Job; a.Failures >= j.Queue.GetMaxAttempts() && j.Open() {
		t.failJob(nowMS, j)
	}
}

func (t *Tables) completeTask(nowMS int64, task *Task) {
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
			t.releaseTask(member)
		}
		if !member.Done {
			member.Done = true
			s.unfinishedTasks--
		}
	}
	t.recountStep(s)
	if s.unfinishedTasks == 0 {
		t.completeStep(nowMS, s)
	}
}

func (t *Tables) completeStep(nowMS int64, s *Step) {
	j := s.Job
	j.unfinishedSteps--
	if j.unfinishedSteps == 0 && !j.Cancelled && !j.Failed {
		j.EndedMS = nowMS
		t.onEnded(j)
	}
	for later := range s.successors() {
		later.pending--
		t.recountStep(later)
	}
}

func (t *Tables) failJob(nowMS int64, j *Job) {
	j.Failed, j.EndedMS = true, nowMS
	t.recountJob(j)
	t.onClosed(j)
	t.onEnded(j)
}
