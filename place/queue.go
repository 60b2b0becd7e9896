package place

import "time"

const dayLength = 24 * time.Hour

// taskList is a list of a job's waiting tasks, linked through the tasks so that a cancelled one leaves at once.
type taskList struct {
	first, last *task
	length      int
}

func (l *taskList) push(t *task) {
	t.prev, t.next = l.last, nil
	if l.last != nil {
		l.last.next = t
	} else {
		l.first = t
	}
	l.last = t
	l.length++
}

func (l *taskList) remove(t *task) {
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

type laneKey struct {
	class, team string
	urgent      bool
}

// lane is the queue of the jobs of one class and team, in order of arrival, linked through the jobs.
type lane struct {
	class       *class
	team        *team
	urgent      bool
	first, last *job
	cursor      *job // where the next Decide begins, nil for the first
	distance    float64
	share       float64
	blocked     int
}

func (p *Placer) lane(j *job) *lane {
	key := laneKey{j.GetClass(), j.GetTeam(), j.GetUrgent()}
	l := p.lanes[key]
	if l == nil {
		l = &lane{class: j.class, team: j.team, urgent: j.GetUrgent()}
		p.lanes[key] = l
	}
	return l
}

func (l *lane) push(j *job) {
	j.queued = true
	j.prev, j.next = l.last, nil
	if l.last != nil {
		l.last.next = j
	} else {
		l.first = j
	}
	l.last = j
}

func (l *lane) remove(j *job) {
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

func (p *Placer) enqueue(t *task) {
	j := t.job
	j.queue.push(t)
	j.class.queued++
	if !j.queued {
		j.lane.push(j)
	}
}

func (p *Placer) dequeue(t *task) {
	j := t.job
	if j.queue.first != t && t.prev == nil {
		return
	}
	j.queue.remove(t)
	j.class.queued--
	if j.queue.length == 0 {
		j.lane.remove(j)
	}
}

// before reports whether lane l is served ahead of m: urgent work, then services, then what is farthest from its target, then the team with least.
func (l *lane) before(m *lane) bool {
	if l.urgent != m.urgent {
		return l.urgent
	}
	if l.class.service() != m.class.service() {
		return l.class.service()
	}
	if l.distance != m.distance {
		return l.distance > m.distance
	}
	if l.share != m.share {
		return l.share < m.share
	}
	return l.class.GetName()+"/"+l.team.name < m.class.GetName()+"/"+m.team.name
}

type laneHeap []*lane

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h laneHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *laneHeap) Push(x any)        { *h = append(*h, x.(*lane)) }
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	*h = (*h)[:last]
	return l
}

// distance returns how far a class is from its target, 0 for on target and 1 for nothing of it reached.
func (p *Placer) distance(c *class) float64 {
	if c.service() {
		return float64(c.queued) / float64(max(1, c.queued+c.running))
	}
	if c.GetTargetVolume() <= 0 {
		return 0
	}
	sinceMidnight := p.now.Sub(p.now.Truncate(dayLength))
	due := time.Duration(c.GetDueMinute()) * time.Minute
	share := 1.0
	if sinceMidnight < due {
		share = float64(sinceMidnight) / float64(due)
	}
	done := int64(0)
	if c.day == p.now.Unix()/int64(dayLength/time.Second) {
		done = c.done
	}
	volume := share * float64(c.GetTargetVolume())
	if float64(done) >= volume {
		return 0
	}
	return 1 - float64(done)/volume
}

// dominant returns the largest share of all room that a team holds.
func (p *Placer) dominant(t *team) float64 {
	share := 0.0
	for _, each := range [3][2]int64{
		{t.used.MilliCPU, p.total.MilliCPU},
		{t.used.MemoryMiB, p.total.MemoryMiB},
		{t.used.Accelerators, p.total.Accelerators},
	} {
		if each[1] > 0 {
			share = max(share, float64(each[0])/float64(each[1]))
		}
	}
	return share
}
