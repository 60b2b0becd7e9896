package workflow

import (
	"errors"
	"iter"
	"slices"

	"daisyswitch/admit"
	"daisyswitch/wire"
)

// ErrIDInUse refuses a workflow whose id belongs to a workflow of another queue or workspace, since workers know tasks by that id alone.
var ErrIDInUse = errors.New("the id is in use")

// endedRetentionMS is how long an ended job is retained; callers may query it for 120 s.
const endedRetentionMS = 150_000

// submit accepts a workflow. The key is checked here too, since a configuration without it may have been committed after the leader has checked it.
func (t *Tables) submit(nowMS int64, c *wire.WorkflowCommand, result *Result) {
	w := c.GetSubmit()
	queue, old := t.queueOfSubmission(w, c.GetByPlace()), t.Jobs[w.GetId()]
	if queue == nil && old != nil && old.Place() == placeOfSubmission(w) {
		queue = old.Queue // dropped after the leader's check; the workflow remains accepted
	}
	if queue == nil {
		result.Answer, result.Reason = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_QUEUE, "no such queue"
		return
	}
	workspace, allowed := t.Caller(queue, c.GetKey())
	if !allowed {
		result.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_UNKNOWN_KEY
		return
	}
	if old != nil {
		if !old.In(queue) || !t.MayReach(workspace, queue, old) {
			result.Answer, result.Reason = wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID, ErrIDInUse.Error()
		}
		return
	}
	w.Workspace = workspace
	if err := admit.Workflow(w); err != nil {
		result.Answer, result.Reason = wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID, err.Error()
		return
	}
	t.removeOldJobs(nowMS)
	j := newJob(w, queue, nowMS)
	t.addJob(j)
}

func (t *Tables) addJob(j *Job) {
	t.Jobs[j.Spec.GetId()] = j
	t.held += j.cost
	t.recountJob(j)
}

// removeOldJobs deletes jobs whose retention period has passed. A job with a task that may be running is kept: a snapshot without it would lose what the task uses.
func (t *Tables) removeOldJobs(nowMS int64) {
	for id, j := range t.Jobs {
		if j.EndedMS != 0 && j.EndedMS+endedRetentionMS < nowMS && !j.isCommitted() {
			delete(t.Jobs, id)
			t.held -= j.cost
		}
	}
}

// isCommitted reports whether a task of the job is committed to a worker.
func (j *Job) isCommitted() bool {
	for _, s := range j.Steps {
		for _, task := range s.Tasks {
			if task.Worker != nil {
				return true
			}
		}
	}
	return false
}

func newJob(w *wire.Workflow, queue *wire.Queue, nowMS int64) *Job {
	j := &Job{Spec: w, Queue: queue, AcceptedMS: nowMS, cost: Cost(w)}
	preceding := j.indexSuccessors()
	for occurrence := range max(1, w.GetOccurrences()) {
		j.addOccurrence(occurrence, preceding)
	}
	j.unfinishedSteps = len(j.Steps)
	return j
}

// indexSuccessors sets which steps come after each step, which is the same in all occurrences, and returns how many different steps precede each.
func (j *Job) indexSuccessors() (preceding []int) {
	steps := j.Spec.GetSteps()
	j.successors, preceding = make([][]int32, len(steps)), make([]int, len(steps))
	for number, spec := range steps {
		after := slices.Clone(spec.GetAfter())
		slices.Sort(after)
		after = slices.Compact(after)
		for _, earlier := range after {
			j.successors[earlier] = append(j.successors[earlier], int32(number))
		}
		preceding[number] = len(after)
	}
	return preceding
}

func (j *Job) addOccurrence(occurrence int32, preceding []int) {
	due := int64(0)
	if j.Spec.GetOccurrences() > 0 {
		due = j.Spec.GetFirstMs() + int64(occurrence)*j.Spec.GetIntervalMs()
	}
	for number, spec := range j.Spec.GetSteps() {
		s := &Step{Job: j, Spec: spec, Occurrence: occurrence, Number: int32(number), DueMS: due, pending: preceding[number]}
		s.unfinishedTasks = int(spec.GetCount())
		s.Tasks = make([]*Task, spec.GetCount())
		tasks := make([]Task, spec.GetCount())
		for i := range tasks {
			tasks[i] = Task{Step: s, Index: int32(i)}
			s.Tasks[i] = &tasks[i]
		}
		j.Steps = append(j.Steps, s)
	}
}

// successors yields the steps of the same occurrence that come after the step.
func (s *Step) successors() iter.Seq[*Step] {
	first := int(s.Occurrence) * len(s.Job.Spec.GetSteps())
	return func(yield func(*Step) bool) {
		for _, number := range s.Job.successors[s.Number] {
			if !yield(s.Job.Steps[first+int(number)]) {
				return
			}
		}
	}
}

// recountJob recomputes the counts of waiting tasks for all steps of a job.
func (t *Tables) recountJob(j *Job) {
	for _, s := range j.Steps {
		t.recountStep(s)
	}
}

func (t *Tables) recountStep(s *Step) {
	s.Waiting = 0
	if !s.Ready() || !s.Job.Open() {
		delete(t.Waiting, s)
		return
	}
	for _, task := range s.Tasks {
		if task.Startable() {
			s.Waiting++
		}
	}
	t.updateWaitingSet(s)
}

func (t *Tables) updateWaitingSet(s *Step) {
	if s.Waiting > 0 {
		t.Waiting[s] = struct{}{}
		return
	}
	delete(t.Waiting, s)
}

// cancel cancels a workflow, if the key still allows it.
func (t *Tables) cancel(nowMS int64, c *wire.WorkflowCommand, result *Result) {
	j := t.Jobs[c.GetCancel()]
	if j == nil {
		result.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW
		return
	}
	queue := t.queueOf(j, c.GetByPlace())
	if workspace, allowed := t.Caller(queue, c.GetKey()); !allowed {
		result.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_UNKNOWN_KEY
		return
	} else if !t.MayReach(workspace, queue, j) {
		result.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_OTHER_WORKSPACE
		return
	}
	if j.unfinishedSteps > 0 && !j.Failed && !j.Cancelled {
		j.Cancelled, j.EndedMS = true, nowMS
		t.recountJob(j)
		t.onClosed(j)
		t.onEnded(j)
	}
}

// markBegun records that runs of some jobs have begun.
func (t *Tables) markBegun(ids []string) {
	for _, id := range ids {
		if j := t.Jobs[id]; j != nil {
			j.Begun = true
		}
	}
}

// Task returns a task by name, or nil if it does not exist.
func (t *Tables) Task(n Name) *Task {
	j := t.Jobs[n.Workflow]
	if j == nil || n.Occurrence < 0 || n.Step < 0 || n.Index < 0 || int(n.Step) >= len(j.Spec.GetSteps()) {
		return nil
	}
	stepIndex := int(n.Occurrence)*len(j.Spec.GetSteps()) + int(n.Step)
	if stepIndex >= len(j.Steps) || int(n.Index) >= len(j.Steps[stepIndex].Tasks) {
		return nil
	}
	return j.Steps[stepIndex].Tasks[n.Index]
}
