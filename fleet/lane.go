package fleet

import "daisyswitch/wire"

// LaneKey identifies a lane.
type LaneKey struct {
	Class, Team string
	Urgent      bool
}

// Lane is the FIFO queue of the jobs of one class and team, separate for urgent jobs. A job with evicted tasks moves to the front.
type Lane struct {
	Class    *Class
	Team     *Team
	Urgent   bool
	Distance float64 // of the class from its target, in this round
	Share    float64 // dominant share of the team, in this round
	Effort   int     // spent on jobs that could not start in this round

	first, last *Job
	cursor      *Job // next job to consider; nil for the first
}

func (f *Fleet) lane(j *Job) *Lane {
	key := LaneKey{j.Class.GetName(), j.Team.Name, j.Urgent}
	l := f.Lanes[key]
	if l == nil {
		l = &Lane{Class: j.Class, Team: j.Team, Urgent: j.Urgent}
		f.Lanes[key] = l
	}
	return l
}

// Current returns the job to consider next, or nil if none waits.
func (l *Lane) Current() *Job {
	if l.cursor == nil {
		l.cursor = l.first
	}
	return l.cursor
}

// SkipCurrent skips the current job, and reports whether another follows before the lane starts over.
func (l *Lane) SkipCurrent() bool {
	l.cursor = l.cursor.next
	return l.cursor != nil
}

// Done reports whether all jobs of the lane have been considered.
func (l *Lane) Done() bool {
	return l.cursor == nil
}

// Empty reports whether no job waits in the lane.
func (l *Lane) Empty() bool {
	return l.first == nil
}

// Before reports whether lane l is served ahead of m: urgent work first, then services, then the class farthest from its target, then the team with the smallest dominant share.
func (l *Lane) Before(m *Lane) bool {
	if l.Urgent != m.Urgent {
		return l.Urgent
	}
	if l.Class.Service() != m.Class.Service() {
		return l.Class.Service()
	}
	if l.Distance != m.Distance {
		return l.Distance > m.Distance
	}
	if l.Share != m.Share {
		return l.Share < m.Share
	}
	if l.Class != m.Class {
		return l.Class.GetName() < m.Class.GetName()
	}
	return l.Team.Name < m.Team.Name
}

func (l *Lane) push(j *Job) {
	j.queued = true
	j.prev, j.next = l.last, nil
	if l.last != nil {
		l.last.next = j
	} else {
		l.first = j
	}
	l.last = j
}

// pushFront puts a job at the front, so that work already started continues before other jobs.
func (l *Lane) pushFront(j *Job) {
	if l.first == nil {
		l.push(j)
		return
	}
	j.queued = true
	j.prev, j.next = nil, l.first
	l.first.prev, l.first = j, j
	l.cursor = nil
}

func (l *Lane) remove(j *Job) {
	if l.cursor == j {
		l.cursor = j.next
	}
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		l.first = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		l.last = j.prev
	}
	j.prev, j.next, j.queued = nil, nil, false
}

// taskList is an intrusive list of a job's waiting tasks, so that a cancelled task is removed in constant time.
type taskList struct {
	first, last *Task
	length      int
}

func (l *taskList) push(t *Task) {
	t.prev, t.next = l.last, nil
	if l.last != nil {
		l.last.next = t
	} else {
		l.first = t
	}
	l.last = t
	l.length++
}

func (l *taskList) pushFront(t *Task) {
	if l.first == nil {
		l.push(t)
		return
	}
	t.prev, t.next = nil, l.first
	l.first.prev, l.first = t, t
	l.length++
}

func (l *taskList) remove(t *Task) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.last = t.prev
	}
	t.prev, t.next = nil, nil
	l.length--
}

// NextTask returns the first waiting task of a job, or nil if none waits.
func (j *Job) NextTask() *Task {
	return j.queue.first
}

// Waiting returns the number of waiting tasks of a job.
func (j *Job) Waiting() int {
	return j.queue.length
}

// Enqueue adds a task to its job's queue: at the back, or at the front if it was checkpointed, as by an eviction.
func (f *Fleet) Enqueue(t *Task) {
	j := t.Job
	j.Class.Waiting++
	if t.State == wire.TaskState_TASK_STATE_CHECKPOINTED {
		f.enqueueFront(t)
		return
	}
	j.queue.push(t)
	if !j.queued {
		j.Lane.push(j)
	}
}

func (f *Fleet) enqueueFront(t *Task) {
	j := t.Job
	j.queue.pushFront(t)
	if j.queued {
		j.Lane.remove(j)
	}
	j.Lane.pushFront(j)
}

// Dequeue removes a task from its job's queue, if it waits there.
func (f *Fleet) Dequeue(t *Task) {
	j := t.Job
	if j.queue.first != t && t.prev == nil {
		return
	}
	j.queue.remove(t)
	j.Class.Waiting--
	if j.queue.length == 0 {
		j.Lane.remove(j)
	}
}
