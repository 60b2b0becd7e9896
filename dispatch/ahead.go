package dispatch

import (
	"cmp"
	"slices"
	"time"

	"daisyswitch/event"
	"daisyswitch/lookahead"
	"daisyswitch/resource"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// ahead keeps capacity for large tasks that found none. Only the loop's goroutine uses it.
type ahead struct {
	books     map[string]*lookahead.Book[*workflow.Step] // by pool
	durations *lookahead.Durations                       // guarded by the session's mutex
	releases  []lookahead.Release                        // buffer

	copies   map[lookahead.Key]*lookahead.Distribution // of distributions, as used in rounds
	copiedAt time.Duration                             // boot clock, since when copies are collected

	queueNumbers map[workflow.Place]int32         // from 1
	lackingSince map[*workflow.Step]time.Duration // boot clock, since when the large tasks of waiting steps have lacked capacity
}

// copyInterval is how long rounds use the same copies of distributions, which change little within a few rounds.
const copyInterval = 50 * time.Millisecond

func newAhead(on bool) *ahead {
	if !on {
		return nil
	}
	return &ahead{books: map[string]*lookahead.Book[*workflow.Step]{}, durations: lookahead.NewDurations(), lackingSince: map[*workflow.Step]time.Duration{}, copies: map[lookahead.Key]*lookahead.Distribution{}, queueNumbers: map[workflow.Place]int32{}}
}

// queueNumber returns a number for a queue, which takes less time to compare than its place.
func (a *ahead) queueNumber(queue workflow.Place) int32 {
	n := a.queueNumbers[queue]
	if n == 0 {
		n = int32(len(a.queueNumbers) + 1)
		a.queueNumbers[queue] = n
	}
	return n
}

// withheld is the capacity of a candidate that a reservation keeps in this round.
type withheld struct {
	any      bool
	now      resource.Size // part of what is free now, already taken from the candidate's free capacity
	released resource.Size // part of what its runs will release
	until    time.Duration // from now, after which the reserved task likely starts
}

// soonFree returns what will be free, less what is reserved, once all tasks that end have ended.
func (c *candidate) soonFree() resource.Size {
	return c.free.Add(c.shortUse).Sub(c.withheld.released)
}

// freeFor returns a candidate's free capacity for a step's tasks, which includes what is withheld if they will likely have ended by the start of the reserved task.
func (r *round) freeFor(step *workflow.Step, c *candidate) resource.Size {
	if !c.withheld.any || step.Spec.GetLasting() || step.Spec.GetFilling() || r.likelyRun(step) > c.withheld.until {
		return c.free
	}
	return c.free.Add(c.withheld.now)
}

// likelyRun returns the time in which a step's tasks likely end. It remembers the last answer, since it is asked for the same step at every reserved worker.
func (r *round) likelyRun(step *workflow.Step) time.Duration {
	if r.likelyStep != step {
		r.likelyStep, r.likelyRunTime = step, lookahead.LikelyRun(r.durationsOf(step))
	}
	return r.likelyRunTime
}

func durationKey(step *workflow.Step) lookahead.Key {
	return lookahead.Key{Queue: step.Job.Place().String(), Image: step.Spec.GetImage()}
}

// durationsOf returns the distribution of a step's run times, or nil if it is not known. It stays the same throughout the round, as the shortages of a round require.
func (r *round) durationsOf(step *workflow.Step) *lookahead.Distribution {
	key := durationKey(step)
	if d, known := r.s.ahead.copies[key]; known {
		return d
	}
	r.s.mu.Lock()
	var d *lookahead.Distribution
	if current := r.s.ahead.durations.Of(key); current != nil {
		copied := *current
		d = &copied
	}
	r.s.mu.Unlock()
	r.s.ahead.copies[key] = d
	return d
}

// largestWorker returns an upper bound of the capacity of a pool's workers.
func (r *round) largestWorker(pool string) resource.Size {
	largest, known := r.largest[pool]
	if known {
		return largest
	}
	for _, c := range r.pools[pool] {
		largest = largest.Max(c.Capacity)
	}
	if r.largest == nil {
		r.largest = map[string]resource.Size{}
	}
	r.largest[pool] = largest
	return largest
}

func (r *round) isLarge(step *workflow.Step) bool {
	return lookahead.IsLarge(resource.FromWire(step.Spec.GetSize()), r.largestWorker(step.Job.Queue.GetPool()))
}

// isReservable reports whether capacity may be kept for single tasks of a step: the others either have a reservation of their own kind, use what is idle, or depend on more than one worker.
func isReservable(s *wire.Step) bool {
	return !s.GetLasting() && !s.GetFilling() && !s.GetGang() && !s.GetSameRack()
}

// keepCapacity keeps capacity for large tasks of a step that found none in this round.
func (r *round) keepCapacity(step *workflow.Step) {
	a := r.s.ahead
	if a == nil || !isReservable(step.Spec) || r.expectedLateness[step.Job] == useless || !r.isLarge(step) {
		return
	}
	pool := step.Job.Queue.GetPool()
	b := a.books[pool]
	if b == nil {
		b = lookahead.NewBook[*workflow.Step]()
		a.books[pool] = b
	}
	now := r.s.SinceBoot()
	if !b.Concerns(step, now) {
		return
	}
	tasks := 0
	for _, task := range step.Tasks {
		if task.Startable() && !r.done[task] {
			tasks++
		}
	}
	kept := b.Keep(lookahead.Demand[*workflow.Step]{
		Step: step, Size: resource.FromWire(step.Spec.GetSize()), Tasks: tasks, Limit: lookahead.Limit(r.durationsOf(step), r.waited(step)), Round: r.number, Now: now,
	}, r.viewOf(pool))
	if kept == 0 {
		return
	}
	if r.reserved == nil {
		r.reserved = map[*workflow.Step]int{}
	}
	r.reserved[step] = kept
}

// waited returns how long a step's tasks have waited. The state doesn't record when a later step became ready, so that it counts from the first time it found no capacity.
func (r *round) waited(step *workflow.Step) time.Duration {
	now := r.s.SinceBoot()
	since, known := r.s.ahead.lackingSince[step]
	if !known {
		since = now
		r.s.ahead.lackingSince[step] = now
	}
	return now - since
}

// viewOf returns a pool's workers for the package that decides on reservations.
func (r *round) viewOf(pool string) *lookahead.Pool[*workflow.Step] {
	workers := r.pools[pool]
	if v := r.views[pool]; v != nil {
		return v
	}
	v := &lookahead.Pool[*workflow.Step]{
		Workers: len(workers),
		ID:      func(i int) string { return workers[i].GetId() },
		Index:   func(id string) int { return indexOf(workers, id) },
		Free:    func(i int) resource.Size { return workers[i].free },
		Useful:  r.isUseful,
		Forecast: func(i int, step *workflow.Step) (f lookahead.Forecast, usable, known bool) {
			c := workers[i]
			size := resource.FromWire(step.Spec.GetSize())
			if c.withheld.any || c.suspended || !r.isEligible(step, c) {
				return f, false, false
			}
			if !size.Fits(c.soonFree()) {
				return f, true, false
			}
			f, known = lookahead.Predict(c.free, r.releasesOn(c), size)
			return f, true, known
		},
		Hold: func(i int, f lookahead.Forecast) {
			c := workers[i]
			c.free, c.roomTaken = c.free.Sub(f.Held), true
			c.withheld = withheld{any: true, now: f.Held, released: f.Released, until: f.In}
		},
		Made: func(made *lookahead.Reservation[*workflow.Step], f lookahead.Forecast) {
			r.s.reservationsMade.Inc()
			event.ReservationMade.Info("workflow", made.Step.Job.Spec.GetId(), "step", made.Step.Number, "worker", made.Worker, "starts_in_ms", f.In.Milliseconds(), "withheld_milli_cpu", f.Held.MilliCPU, "pool", pool)
		},
		Ended: r.s.recordReservationEnd,
	}
	if r.views == nil {
		r.views = map[string]*lookahead.Pool[*workflow.Step]{}
	}
	r.views[pool] = v
	return v
}

// indexOf returns the index of a worker in a pool's candidates, which are sorted by id, or -1.
func indexOf(workers []*candidate, id string) int {
	i, found := slices.BinarySearchFunc(workers, id, func(c *candidate, id string) int { return cmp.Compare(c.GetId(), id) })
	if !found {
		return -1
	}
	return i
}

// isUseful reports whether a step's workflow still has some value if one of its tasks starts after the given time.
func (r *round) isUseful(step *workflow.Step, in time.Duration) bool {
	return r.s.predictLateness(step, r.nowMS+in.Milliseconds()) != useless
}

// releasesOn predicts the ends of a candidate's runs. Runs whose end cannot be predicted count as not ending.
func (r *round) releasesOn(c *candidate) []lookahead.Release {
	a, now := r.s.ahead, r.s.SinceBoot()
	releases := a.releases[:0]
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for _, run := range c.link.runs {
		spec := run.task.Step.Spec
		if run.task.Worker != c.Worker || run.task.Run != run.number || spec.GetLasting() || spec.GetFilling() || run.order.Checkpoint != "" {
			continue
		}
		elapsed := time.Duration(0)
		if run.listed {
			elapsed = now - run.firstListedAt
		}
		if release, ok := lookahead.ReleaseOf(run.durations(a), elapsed, resource.FromWire(spec.GetSize())); ok {
			releases = append(releases, release)
		}
	}
	a.releases = releases
	return releases
}

// durations returns the distribution of a run's duration, or nil if it is not known yet. The caller holds the session's mutex.
func (r *run) durations(a *ahead) *lookahead.Distribution {
	if r.distribution == nil {
		r.distribution = a.durations.Of(durationKey(r.task.Step))
	}
	return r.distribution
}

// recordReservationEnd logs and counts the end of a reservation.
func (s *session) recordReservationEnd(ended *lookahead.Reservation[*workflow.Step], outcome lookahead.Outcome) {
	s.reservationsEnded(string(outcome)).Inc()
	fields := []any{"workflow", ended.Step.Job.Spec.GetId(), "step", ended.Step.Number, "worker", ended.Worker, "after_ms", (s.SinceBoot() - ended.MadeAt).Milliseconds()}
	if outcome == lookahead.Kept {
		event.ReservationKept.Info(fields...)
		return
	}
	event.ReservationGivenUp.Info(append(fields, "reason", string(outcome))...)
}

// recordReserved ends the reservation for a step on a candidate on which one of its tasks was placed.
func (r *round) recordReserved(step *workflow.Step, c *candidate) {
	if r.s.ahead == nil {
		return
	}
	if b := r.s.ahead.books[step.Job.Queue.GetPool()]; b != nil {
		b.Placed(step, c.GetId(), r.s.SinceBoot(), r.s.recordReservationEnd)
	}
}

// settleReservations ends the reservations of steps that no longer wait.
func (r *round) settleReservations() {
	if r.s.ahead == nil {
		return
	}
	if a, now := r.s.ahead, r.s.SinceBoot(); now-a.copiedAt >= copyInterval {
		clear(a.copies)
		a.copiedAt = now
	}
	for step := range r.s.ahead.lackingSince {
		if _, waiting := r.t.Waiting[step]; !waiting {
			delete(r.s.ahead.lackingSince, step)
		}
	}
	for _, b := range r.s.ahead.books {
		b.Settle(r.s.SinceBoot(), r.isWaiting, r.s.recordReservationEnd)
	}
}

// isWaiting reports whether a step has tasks that may start and were not placed in this round.
func (r *round) isWaiting(step *workflow.Step) bool {
	return slices.ContainsFunc(step.Tasks, func(task *workflow.Task) bool { return task.Startable() && !r.done[task] })
}

// observeWait records how long a task of a first step has waited for its start, by size.
func (r *round) observeWait(step *workflow.Step) {
	if len(step.Spec.GetAfter()) > 0 || step.DueMS > 0 || step.Spec.GetLasting() {
		return
	}
	h := r.s.smallStartWait
	if r.isLarge(step) {
		h = r.s.largeStartWait
	}
	h.Update(float64(r.nowMS-step.Job.AcceptedMS) / 1000)
}
