package lookahead

import (
	"time"

	"daisyswitch/resource"
)

// looksPerSearch bounds the workers that one search examines. The best of 32 workers is among the best tenth of the pool with a probability of 97%, and a later search examines others.
const looksPerSearch = 32

// Pool gives access to the workers of a pool in one round, by index. A worker's index may differ from round to round.
type Pool[Step comparable] struct {
	Workers  int
	ID       func(worker int) string
	Free     func(worker int) resource.Size                               // less what this round has placed or withheld
	Index    func(id string) int                                          // -1 if the pool has no such worker now
	Forecast func(worker int, step Step) (f Forecast, usable, known bool) // whether the worker may run the step's tasks at all, and whether there is a forecast
	Hold     func(worker int, f Forecast)                                 // withholds capacity for the rest of the round
	Useful   func(step Step, in time.Duration) bool                       // whether the step's workflow still has a value if a task starts then
	Made     func(r *Reservation[Step], f Forecast)
	Ended    func(r *Reservation[Step], outcome Outcome)
}

// Demand is a step whose tasks found no capacity in a round.
type Demand[Step comparable] struct {
	Step  Step
	Size  resource.Size
	Tasks int // that found none
	Limit time.Duration
	Round int
	Now   time.Duration
}

// Keep renews the reservations of a step whose tasks found no capacity, and makes another if it has too few. Capacity is withheld from what is placed later in the round, so that nothing more urgent than the step is affected.
// It returns the number of tasks that have a reservation.
func (b *Book[Step]) Keep(d Demand[Step], pool *Pool[Step]) int {
	kept := 0
	if b.count[d.Step] > 0 {
		for _, r := range b.byWorker {
			if r.Step == d.Step && b.renew(r, d, pool, kept) {
				kept++
			}
		}
	}
	if kept == d.Tasks || !b.maySearch(d.Now) || b.Paused(d.Step, d.Now) {
		return kept
	}
	var displaced *Reservation[Step]
	if b.Len() >= MaxReservations(pool.Workers) {
		if kept > 0 {
			return kept
		}
		if displaced = b.lessUrgent(d.Round); displaced == nil {
			b.searched = d.Now
			return kept
		}
	}
	if b.search(d, pool) {
		kept++
		if displaced != nil {
			b.End(displaced, Displaced, d.Now)
			pool.Ended(displaced, Displaced)
		}
	}
	return kept
}

// lessUrgent returns a reservation of a less urgent step, or nil. Those of more urgent steps were renewed earlier in the round.
func (b *Book[Step]) lessUrgent(round int) *Reservation[Step] {
	for _, r := range b.byWorker {
		if r.Round != round {
			return r
		}
	}
	return nil
}

func (b *Book[Step]) renew(r *Reservation[Step], d Demand[Step], pool *Pool[Step], kept int) bool {
	end := func(outcome Outcome) bool {
		b.End(r, outcome, d.Now)
		pool.Ended(r, outcome)
		return false
	}
	if kept >= d.Tasks {
		return end(Overtaken)
	}
	worker := pool.Index(r.Worker)
	if worker < 0 {
		return end(Unusable)
	}
	free := pool.Free(worker)
	usable := true
	f, known := r.current(d.Now, free)
	if !known {
		f, usable, known = pool.Forecast(worker, d.Step)
		r.free, r.forecast, r.seenAt = free, f, d.Now
	}
	if !usable {
		return end(Unusable)
	}
	if outcome := b.Renew(r, d.Round, d.Now, f, known, d.Size); outcome != Standing {
		return end(outcome)
	}
	if !pool.Useful(d.Step, f.In) {
		return end(NoUse)
	}
	pool.Hold(worker, f)
	return true
}

// search examines a few workers and reserves the best of them.
func (b *Book[Step]) search(d Demand[Step], pool *Pool[Step]) bool {
	b.searched = d.Now
	best, bestForecast := -1, Forecast{}
	for range min(looksPerSearch, pool.Workers) {
		b.next = (b.next + 1) % pool.Workers
		if b.byWorker[pool.ID(b.next)] != nil {
			continue
		}
		f, usable, known := pool.Forecast(b.next, d.Step)
		if !usable || !known || !Acceptable(f, d.Limit) {
			continue
		}
		if best < 0 || Better(f, bestForecast) {
			best, bestForecast = b.next, f
		}
	}
	if best < 0 || !pool.Useful(d.Step, bestForecast.In) {
		return false
	}
	free := pool.Free(best)
	r := b.Make(d.Step, pool.ID(best), d.Round, d.Now, bestForecast, d.Size, d.Limit)
	r.free = free
	pool.Hold(best, bestForecast)
	pool.Made(r, bestForecast)
	return true
}

// Settle ends the reservations of steps that no longer wait, once a round has placed what it can.
func (b *Book[Step]) Settle(now time.Duration, waits func(Step) bool, ended func(*Reservation[Step], Outcome)) {
	for _, r := range b.byWorker {
		if !waits(r.Step) {
			b.End(r, Overtaken, now)
			ended(r, Overtaken)
		}
	}
}

// Placed ends the reservation on a worker if it was for a step of which a task was placed there.
func (b *Book[Step]) Placed(step Step, worker string, now time.Duration, ended func(*Reservation[Step], Outcome)) {
	if r := b.byWorker[worker]; r != nil && r.Step == step {
		b.End(r, Kept, now)
		ended(r, Kept)
	}
}
