package workflow

import "daisyswitch/wire"

// Place identifies a queue by what callers address: a host and a path prefix. Names do not identify queues, since a configuration may rename a place, or use a name for another one.
type Place struct {
	Host       string
	PathPrefix string
}

// PlaceOf returns the place of a queue.
func PlaceOf(q *wire.Queue) Place {
	return Place{Host: q.GetHost(), PathPrefix: q.GetPathPrefix()}
}

// String returns the place as written in logs and metrics.
func (p Place) String() string { return p.Host + p.PathPrefix }

// Place returns the place at which the job was accepted.
func (j *Job) Place() Place { return PlaceOf(j.Queue) }

// In reports whether callers reach the job through a queue.
func (j *Job) In(q *wire.Queue) bool { return j.Place() == PlaceOf(q) }

// setQueues puts a configuration in force. Jobs take over the new definition of their queue, or keep the last one if the configuration has none.
// In records of an earlier build, which have byPlace unset, names identify queues, so that replaying them leads to the state that replicas of that build have.
func (t *Tables) setQueues(q *wire.QueueSet, byPlace bool) {
	if q.GetVersion() <= t.Queues.GetVersion() {
		return
	}
	t.Queues = q
	t.queuesByPlace, t.queuesByName = map[Place]*wire.Queue{}, map[string]*wire.Queue{}
	for _, queue := range q.GetQueues() {
		t.queuesByPlace[PlaceOf(queue)] = queue
		t.queuesByName[queue.GetName()] = queue
	}
	t.indexWorkspaces()
	for _, j := range t.Jobs {
		queue := t.queuesByPlace[j.Place()]
		if !byPlace {
			queue = t.queuesByName[j.Spec.GetQueue()]
		}
		if queue != nil {
			j.Queue = queue
		}
	}
	t.indexPools()
}

// indexPools rebuilds the set of pools in which tasks may start. A workflow accepted later belongs to a queue, so its pool is among them.
func (t *Tables) indexPools() {
	t.pools = map[string]bool{}
	for _, q := range t.Queues.GetQueues() {
		t.pools[q.GetPool()] = true
	}
	for _, j := range t.Jobs {
		if j.Open() {
			t.pools[j.Queue.GetPool()] = true
		}
	}
}

// queueOfSubmission returns the queue that a submission names, nil if the present configuration has none.
func (t *Tables) queueOfSubmission(w *wire.Workflow, byPlace bool) *wire.Queue {
	if !byPlace {
		return t.queuesByName[w.GetQueue()]
	}
	return t.queuesByPlace[placeOfSubmission(w)]
}

func placeOfSubmission(w *wire.Workflow) Place {
	return Place{Host: w.GetHost(), PathPrefix: w.GetPathPrefix()}
}

// queueOf returns a job's queue in the present configuration, or its last definition if there is none.
func (t *Tables) queueOf(j *Job, byPlace bool) *wire.Queue {
	if q := t.queuesByName[j.Spec.GetQueue()]; !byPlace && q != nil {
		return q
	}
	if q := t.queuesByPlace[j.Place()]; q != nil {
		return q
	}
	return j.Queue
}

// QueueFor returns the queue with the longest path prefix that matches a request, and the rest of the path; nil if no queue matches.
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

// JobAt returns the job that callers reach by a host and path, also if no queue has its place any more; nil if there is none.
func (t *Tables) JobAt(host, path string) *Job {
	for i := range path {
		if j := t.Jobs[path[i:]]; j != nil && j.Place() == (Place{Host: host, PathPrefix: path[:i]}) {
			return j
		}
	}
	return nil
}

// IsReachable reports whether a caller with a key may read and cancel a job at its place.
func (t *Tables) IsReachable(j *Job, key string) bool {
	queue := t.queueOf(j, true)
	workspace, allowed := t.Caller(queue, key)
	return allowed && t.MayReach(workspace, queue, j)
}

// WaitingJobs counts a queue's open jobs of which no run is known to have begun.
func (t *Tables) WaitingJobs(queue *wire.Queue) int64 {
	count := int64(0)
	for _, j := range t.Jobs {
		if j.In(queue) && j.Open() && !j.Begun {
			count++
		}
	}
	return count
}
