package lookahead

import (
	"time"

	"daisyswitch/resource"
)

// Bounds of reservations.
const (
	workersPerReservation = 20                    // at most one reservation of a pool for each so many workers, but at least one, so that most capacity stays available to all
	maxReservations       = 8                     // of a pool, which bounds the work of a round
	slipFactor            = 2                     // a reservation lasts at most this many times as long as its start was allowed to be ahead; run times that were learned may be half of the present ones
	renewInterval         = 50 * time.Millisecond // after which a forecast is made again though nothing has changed on the worker, since runs that go on are expected to end later
	searchInterval        = 20 * time.Millisecond // between searches in a pool, so that they take a small part of the time of rounds, which follow each other after 5 ms
	maxHorizon            = 2 * time.Second       // longest time to a predicted start; beyond it the ends of most runs are guesses
	unknownRun            = time.Second           // run time of a task whose distribution is not known; half of the longest usual one
	largeDivisor          = 5                     // a task is large if it takes at least this part of the largest worker; smaller ones find gaps by themselves
)

// MaxReservations returns the most reservations of a pool with the given number of workers.
func MaxReservations(workers int) int {
	return min(max(1, workers/workersPerReservation), maxReservations)
}

// IsLarge reports whether a task is large for a pool whose largest worker has the given capacity.
func IsLarge(size, largest resource.Size) bool {
	return size.MilliCPU > 0 && size.MilliCPU*largeDivisor >= largest.MilliCPU || size.MemoryMiB > 0 && size.MemoryMiB*largeDivisor >= largest.MemoryMiB
}

// Outcome says how a reservation ended.
type Outcome string

// Outcomes of reservations.
const (
	Standing  Outcome = ""          // it goes on
	Kept      Outcome = "kept"      // a task started on the reserved worker
	Overtaken Outcome = "overtaken" // the step's last tasks found capacity elsewhere or need none
	Slipped   Outcome = "slipped"   // the predicted start came to be too late
	TooDear   Outcome = "too_dear"  // it withheld as much processor time as it may
	Unusable  Outcome = "unusable"  // the worker may no longer run the task
	Displaced Outcome = "displaced" // a more urgent step needed one, and no more were allowed
	NoUse     Outcome = "no_use"    // the task's workflow would end without value
)

// Reservation keeps capacity on one worker for one task of a step, whichever starts first.
type Reservation[Step comparable] struct {
	Step     Step
	Worker   string
	MadeAt   time.Duration // clock of the caller
	StartsAt time.Duration // predicted start, as of the last renewal
	Round    int           // of the last renewal
	latest   time.Duration // latest acceptable start
	budget   time.Duration // processor time that may still be withheld, as a multiple of the task's processors
	at       time.Duration // of the last renewal
	free     resource.Size // of the worker at the last forecast
	forecast Forecast      // made last
	seenAt   time.Duration // of the last forecast
	held     float64       // share of the task's processors withheld since then
}

// Limit returns how far ahead a reservation of a task may start, and how much processor time it may withhold as a multiple of the task's processors: no more than the work of the task itself.
func Limit(d *Distribution, waited time.Duration) time.Duration {
	run := unknownRun
	if d.Known() {
		run = d.Mean()
	}
	return min(max(run, waited), maxHorizon)
}

// Book holds the reservations of one pool.
type Book[Step comparable] struct {
	byWorker map[string]*Reservation[Step]
	count    map[Step]int           // reservations by step
	pausedTo map[Step]time.Duration // steps that gave a reservation up, and until when they get no other
	next     int                    // where the next search for a worker begins
	searched time.Duration          // of the last search
}

// NewBook returns a book without reservations.
func NewBook[Step comparable]() *Book[Step] {
	return &Book[Step]{searched: -searchInterval, byWorker: map[string]*Reservation[Step]{}, pausedTo: map[Step]time.Duration{}, count: map[Step]int{}}
}

// Len returns the number of reservations.
func (b *Book[Step]) Len() int { return len(b.byWorker) }

// On returns the reservation on a worker, or nil.
func (b *Book[Step]) On(worker string) *Reservation[Step] { return b.byWorker[worker] }

// Concerns reports whether Keep may have anything to do for a step.
func (b *Book[Step]) Concerns(step Step, now time.Duration) bool {
	return b.count[step] > 0 || b.maySearch(now)
}

func (b *Book[Step]) maySearch(now time.Duration) bool { return now >= b.searched+searchInterval }

// Paused reports whether a step may not get a reservation yet.
func (b *Book[Step]) Paused(step Step, now time.Duration) bool { return now < b.pausedTo[step] }

// Acceptable reports whether a reservation for a task with the given limit may be made on a forecast.
func Acceptable(f Forecast, limit time.Duration) bool { return f.In <= limit && f.Idle <= limit }

// Better reports whether a forecast is preferable to another: it starts earlier, counting what it withholds as delay.
func Better(f, other Forecast) bool { return f.In+f.Idle < other.In+other.Idle }

// Make adds a reservation.
func (b *Book[Step]) Make(step Step, worker string, round int, now time.Duration, f Forecast, size resource.Size, limit time.Duration) *Reservation[Step] {
	r := &Reservation[Step]{Step: step, Worker: worker, MadeAt: now, Round: round, latest: now + slipFactor*limit, budget: limit, at: now, forecast: f, seenAt: now}
	r.apply(now, f, size)
	b.byWorker[worker] = r
	b.count[step]++
	return r
}

func (r *Reservation[Step]) apply(now time.Duration, f Forecast, size resource.Size) {
	r.StartsAt, r.held = now+f.In, float64(f.Held.MilliCPU)/float64(max(1, size.MilliCPU))
}

// current returns the forecast that was made last, if the worker's free capacity is the same and the forecast is not old.
func (r *Reservation[Step]) current(now time.Duration, free resource.Size) (Forecast, bool) {
	f := r.forecast
	f.In -= now - r.seenAt
	return f, free == r.free && f.In > 0 && now-r.seenAt < renewInterval
}

// Renew updates a reservation with the forecast of a later round, and returns whether it goes on. ok says whether there is a forecast.
func (b *Book[Step]) Renew(r *Reservation[Step], round int, now time.Duration, f Forecast, ok bool, size resource.Size) Outcome {
	r.budget -= time.Duration(r.held * float64(now-r.at))
	r.at, r.Round = now, round
	switch {
	case !ok || now+f.In > r.latest:
		return Slipped
	case r.budget <= 0:
		return TooDear
	}
	r.apply(now, f, size)
	return Standing
}

// End removes a reservation. Unless it was of use, its step gets no other for as long as this one lasted, so that a step withholds capacity for at most half of the time in vain.
func (b *Book[Step]) End(r *Reservation[Step], outcome Outcome, now time.Duration) {
	if b.byWorker[r.Worker] == r {
		delete(b.byWorker, r.Worker)
		if b.count[r.Step]--; b.count[r.Step] == 0 {
			delete(b.count, r.Step)
		}
	}
	for step, until := range b.pausedTo {
		if now >= until {
			delete(b.pausedTo, step)
		}
	}
	if outcome == Slipped || outcome == TooDear {
		b.pausedTo[r.Step] = now + (now - r.MadeAt)
	}
}
