package fleet

import "daisyswitch/wire"

// LaneKey names a lane.
type LaneKey struct {
	Class, Team string
	Urgent      bool
}

// Lane is the queue of the jobs of one class and team, in order of arrival.
type Lane struct {
	Class    *Class
	Team     *Team
	Urgent   bool
	Distance float64 // of the class from its target, as of this round
	Share    float64 // of the team, as of this round
	Effort   int     // spent on jobs that could not start in this round

	first, last *Job
	cursor      *Job // what the next round begins with, nil for the first
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

// Current returns the job whose turn it is, nil if none waits.
func (l *Lane) Current() *Job {
	if l.cursor == nil {
		l.cursor = l.first
	}
	return l.cursor
}

// Pass moves on from the current job, and reports whether another follows before the lane begins anew.
func (l *Lane) Pass() bool {
	l.cursor = l.cursor.next
	return l.cursor != nil
}

// Done reports whether the lane has come to its end.
func (l *Lane) Done() bool {
	return l.cursor == nil
}

// Empty reports whether no job waits.
func (l *Lane) Empty() bool {
	return l.first == nil
}

// Before reports whether lane l is served ahead of m: urgent work, then services, then what is farthest from its target, then the team with least.
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

// pushFront lets a job whose work was begun go on before others.
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

// taskList is a list of a job's waiting tasks, linked through the tasks so that a cancelled one leaves at once.
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

// NextTask returns the first waiting task of a job, nil if none waits.
func (j *Job) NextTask() *Task {
	return j.queue.first
}

// Waiting returns how many tasks of a job wait.
func (j *Job) Waiting() int {
	return j.queue.length
}

// Enqueue lets a task wait for its start: behind the others, or before them if it was evicted.
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

// Dequeue takes a task out of the queue, if it waits there.
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
