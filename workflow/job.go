package workflow

import "daisyswitch/wire"

// keptMS is how long an ended job is still known; callers may ask for 120 s.
const keptMS = 150_000

func (t *Tables) submit(nowMS int64, w *wire.Workflow, result *Result) {
	if t.Jobs[w.GetId()] != nil {
		return
	}
	queue := t.byName[w.GetQueue()]
	if queue == nil {
		result.Answer, result.Reason = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_QUEUE, "no such queue"
		return
	}
	if err := Check(w); err != nil {
		result.Answer, result.Reason = wire.WorkflowAnswer_WORKFLOW_ANSWER_INVALID, err.Error()
		return
	}
	t.forget(nowMS)
	j := newJob(w, queue, nowMS)
	t.Jobs[w.GetId()] = j
	t.offer(j)
}

// forget removes jobs that ended long ago.
func (t *Tables) forget(nowMS int64) {
	for id, j := range t.Jobs {
		if j.EndedMS != 0 && j.EndedMS+keptMS < nowMS {
			delete(t.Jobs, id)
		}
	}
}

func newJob(w *wire.Workflow, queue *wire.Queue, nowMS int64) *Job {
	j := &Job{Spec: w, Queue: queue, AcceptedMS: nowMS}
	for k := range max(1, w.GetOccurrences()) {
		j.addOccurrence(k)
	}
	j.open = len(j.Steps)
	return j
}

func (j *Job) addOccurrence(k int32) {
	due := int64(0)
	if j.Spec.GetOccurrences() > 0 {
		due = j.Spec.GetFirstMs() + int64(k)*j.Spec.GetIntervalMs()
	}
	first := len(j.Steps)
	for number, spec := range j.Spec.GetSteps() {
		s := &Step{Job: j, Spec: spec, Occurrence: k, Number: int32(number), DueMS: due}
		s.undone = int(spec.GetCount())
		s.Tasks = make([]*Task, spec.GetCount())
		tasks := make([]Task, spec.GetCount())
		for i := range tasks {
			tasks[i] = Task{Step: s, Index: int32(i)}
			s.Tasks[i] = &tasks[i]
		}
		j.Steps = append(j.Steps, s)
	}
	for number, spec := range j.Spec.GetSteps() {
		s := j.Steps[first+number]
		for _, earlier := range spec.GetAfter() {
			before := j.Steps[first+int(earlier)]
			before.next = append(before.next, s)
			s.before++
		}
	}
}

// offer counts afresh which tasks of a job wait.
func (t *Tables) offer(j *Job) {
	for _, s := range j.Steps {
		t.recount(s)
	}
}

func (t *Tables) recount(s *Step) {
	s.Waiting = 0
	if !s.Ready() || !s.Job.Open() {
		delete(t.Waiting, s)
		return
	}
	for _, task := range s.Tasks {
		if task.Waits() {
			s.Waiting++
		}
	}
	t.list(s)
}

func (t *Tables) list(s *Step) {
	if s.Waiting > 0 {
		t.Waiting[s] = struct{}{}
		return
	}
	delete(t.Waiting, s)
}

func (t *Tables) cancel(nowMS int64, id string, result *Result) {
	j := t.Jobs[id]
	if j == nil {
		result.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_WORKFLOW
		return
	}
	if j.open > 0 && !j.Failed && !j.Cancelled {
		j.Cancelled, j.EndedMS = true, nowMS
		t.offer(j)
		t.closed(j)
		t.ended(j)
	}
}

// Task returns a task by name, nil if there is none.
func (t *Tables) Task(n Name) *Task {
	j := t.Jobs[n.Workflow]
	if j == nil || n.Occurrence < 0 || n.Step < 0 || n.Index < 0 || int(n.Step) >= len(j.Spec.GetSteps()) {
		return nil
	}
	at := int(n.Occurrence)*len(j.Spec.GetSteps()) + int(n.Step)
	if at >= len(j.Steps) || int(n.Index) >= len(j.Steps[at].Tasks) {
		return nil
	}
	return j.Steps[at].Tasks[n.Index]
}

// QueueFor returns the queue that takes a request, and what follows its prefix in the path; nil if there is none.
func (t *Tables) QueueFor(host, path string) (queue *wire.Queue, rest string) {
	for _, q := range t.Queues.GetQueues() {
		prefix := q.GetPathPrefix()
		if q.GetHost() != host || len(path) < len(prefix) || path[:len(prefix)] != prefix {
			continue
		}
		if queue == nil || len(prefix) > len(queue.GetPathPrefix()) {
			queue, rest = q, path[len(prefix):]
		}
	}
	return queue, rest
}

// WaitingJobs counts a queue's accepted jobs of which nothing has started.
func (t *Tables) WaitingJobs(queue string) int64 {
	count := int64(0)
	for _, j := range t.Jobs {
		if j.Spec.GetQueue() == queue && j.Open() && !j.Started {
			count++
		}
	}
	return count
}
