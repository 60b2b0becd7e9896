package lookahead_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"daisyswitch/lookahead"
	"daisyswitch/resource"
)

// mix describes a randomly drawn load of small and large tasks on a pool, which is placed in the order of arrival, each task on the emptiest worker with enough free capacity, as the leader does.
type mix struct {
	seed       uint64
	workers    int
	load       float64       // offered work relative to the capacity
	largeShare float64       // of the work
	slow       float64       // share of the tasks that run seven times as long
	shift      time.Duration // after which all run times are half or double, so that what was learned is wrong
	factor     float64       // by which they change then
	length     time.Duration
}

type mixStep struct {
	number  int
	arrived time.Duration
	size    resource.Size
	large   bool
	waiting []time.Duration // run times of the tasks that wait
	key     lookahead.Key
}

type mixRun struct {
	began, ends time.Duration
	size        resource.Size
	key         lookahead.Key
}

type mixWorker struct {
	capacity, used resource.Size
	runs           []mixRun
	free           resource.Size // less what is withheld in this round
	held           resource.Size
	heldFor        time.Duration
}

// result holds the figures of a run of a mix.
type result struct {
	largeWaits      []time.Duration // from arrival to start
	smallWork       float64         // core-seconds of the small tasks that were started
	unused          float64         // share of the capacity
	made, kept      int
	longestReserved time.Duration // longest reservation
	overcommitted   bool
	longestFirst    time.Duration // longest time in which no task of the step that had waited longest started
}

func (r *result) largeAt(share float64) time.Duration {
	return r.largeWaits[min(len(r.largeWaits)-1, int(share*float64(len(r.largeWaits))))]
}

const (
	tick  = 10 * time.Millisecond
	whole = 12_000 // thousandths of a core of the smaller workers
)

// play is one run of a mix.
type play struct {
	mix
	result
	now       time.Duration
	round     int
	random    *rand.Rand
	workers   []*mixWorker
	queue     []*mixStep
	durations *lookahead.Durations
	first     int                  // number of the step that has waited longest
	firstAt   time.Duration        // since when it is, or when a task of it last started
	book      *lookahead.Book[int] // nil without lookahead
	pool      *lookahead.Pool[int]
	steps     map[int]*mixStep
}

func (m mix) run(ahead bool) *result {
	p := &play{mix: m, random: rand.New(rand.NewPCG(m.seed, 1)), durations: lookahead.NewDurations(), steps: map[int]*mixStep{}}
	capacity := 0.0
	for i := range m.workers {
		w := &mixWorker{capacity: resource.Size{MilliCPU: whole + int64(i%2)*whole/2, MemoryMiB: 1 << 20}}
		p.workers, capacity = append(p.workers, w), capacity+float64(w.capacity.MilliCPU)
	}
	if ahead {
		p.book, p.pool = lookahead.NewBook[int](), p.newPool()
	}
	arrivals := p.drawArrivals(capacity)
	ticks := 0
	for p.now = 0; p.now < m.length; p.now += tick {
		for len(arrivals) > 0 && arrivals[0].arrived <= p.now {
			p.queue, p.steps[arrivals[0].number] = append(p.queue, arrivals[0]), arrivals[0]
			arrivals = arrivals[1:]
		}
		p.endRuns()
		p.placeRound()
		ticks++
		for _, w := range p.workers {
			p.unused += float64(w.capacity.MilliCPU-w.used.MilliCPU) / capacity
		}
	}
	p.unused /= float64(ticks)
	for _, s := range p.queue { // what has not started counts with the time it has waited
		for range s.waiting {
			if s.large {
				p.largeWaits = append(p.largeWaits, p.now-s.arrived)
			}
		}
	}
	slices.Sort(p.largeWaits)
	return &p.result
}

// drawArrivals draws steps until the end, so that both runs of a mix get the same ones.
func (p *play) drawArrivals(capacity float64) []*mixStep {
	var steps []*mixStep
	for at, number := time.Duration(0), 1; at < p.length; number++ {
		s := &mixStep{number: number, arrived: at, large: p.random.Float64() < p.largeShare/4}
		count, milliCPU := 5+p.random.IntN(20), int64(400+p.random.IntN(1200))
		if s.large {
			count, milliCPU = 1+p.random.IntN(6), int64(whole/4+p.random.IntN(whole/4))
		}
		image := p.random.IntN(4)
		s.size = resource.Size{MilliCPU: milliCPU, MemoryMiB: 100}
		s.key = lookahead.Key{Queue: "q", Image: fmt.Sprint(s.large, image)}
		mean, work := 0.5+0.7*float64(image), 0.0
		if p.shift > 0 && at > p.shift {
			mean *= p.factor
		}
		for range count {
			seconds := mean * math.Exp(0.3*p.random.NormFloat64())
			if p.random.Float64() < p.slow {
				seconds *= 7
			}
			s.waiting = append(s.waiting, time.Duration(seconds*float64(time.Second)))
			work += seconds * float64(milliCPU)
		}
		steps = append(steps, s)
		at += time.Duration(work / (p.load * capacity) * float64(time.Second) * p.random.ExpFloat64())
	}
	return steps
}

func (p *play) endRuns() {
	for _, w := range p.workers {
		w.runs = slices.DeleteFunc(w.runs, func(r mixRun) bool {
			if r.ends > p.now {
				return false
			}
			w.used = w.used.Sub(r.size)
			p.durations.Record(r.key, r.ends-r.began)
			return true
		})
		w.free, w.held = w.capacity.Sub(w.used), resource.Size{}
		p.overcommitted = p.overcommitted || !w.used.Fits(w.capacity)
	}
}

func (p *play) placeRound() {
	p.round++
	for _, s := range p.queue {
		for len(s.waiting) > 0 && p.placeTask(s) {
			s.waiting = s.waiting[1:]
		}
		if len(s.waiting) > 0 && p.book != nil && s.large {
			p.book.Keep(lookahead.Demand[int]{Step: s.number, Size: s.size, Tasks: len(s.waiting), Limit: lookahead.Limit(p.durations.Of(s.key), p.now-s.arrived), Round: p.round, Now: p.now}, p.pool)
		}
	}
	if len(p.queue) > 0 {
		if s := p.queue[0]; p.first != s.number {
			p.first, p.firstAt = s.number, p.now
		}
		p.longestFirst = max(p.longestFirst, p.now-p.firstAt)
	}
	p.queue = slices.DeleteFunc(p.queue, func(s *mixStep) bool { return len(s.waiting) == 0 })
	if p.book != nil {
		p.book.Settle(p.now, func(step int) bool { return len(p.steps[step].waiting) > 0 }, p.pool.Ended)
	}
}

func (p *play) placeTask(s *mixStep) bool {
	var best *mixWorker
	bestIndex := 0
	for i, w := range p.workers {
		free := w.free
		if w.held != (resource.Size{}) && lookahead.LikelyRun(p.durations.Of(s.key)) <= w.heldFor {
			free = free.Add(w.held)
		}
		if s.size.Fits(free) && (best == nil || float64(w.free.MilliCPU)/float64(w.capacity.MilliCPU) > float64(best.free.MilliCPU)/float64(best.capacity.MilliCPU)) {
			best, bestIndex = w, i
		}
	}
	if best == nil {
		return false
	}
	if p.first == s.number {
		p.firstAt = p.now
	}
	best.free, best.used = best.free.Sub(s.size), best.used.Add(s.size)
	best.runs = append(best.runs, mixRun{began: p.now, ends: p.now + s.waiting[0], size: s.size, key: s.key})
	if s.large {
		p.largeWaits = append(p.largeWaits, p.now-s.arrived)
	} else {
		p.smallWork += s.waiting[0].Seconds() * float64(s.size.MilliCPU) / 1000
	}
	if p.book != nil {
		p.book.Placed(s.number, strconv.Itoa(bestIndex), p.now, p.pool.Ended)
	}
	return true
}

func (p *play) newPool() *lookahead.Pool[int] {
	return &lookahead.Pool[int]{
		Workers: len(p.workers),
		ID:      strconv.Itoa,
		Index:   func(id string) int { i, _ := strconv.Atoi(id); return i },
		Free:    func(i int) resource.Size { return p.workers[i].free },
		Useful:  func(int, time.Duration) bool { return true },
		Forecast: func(i int, step int) (lookahead.Forecast, bool, bool) {
			var releases []lookahead.Release
			for _, r := range p.workers[i].runs {
				if release, ok := lookahead.ReleaseOf(p.durations.Of(r.key), p.now-r.began, r.size); ok {
					releases = append(releases, release)
				}
			}
			f, ok := lookahead.Predict(p.workers[i].free, releases, p.steps[step].size)
			return f, true, ok
		},
		Hold: func(i int, f lookahead.Forecast) {
			w := p.workers[i]
			p.overcommitted = p.overcommitted || w.held != (resource.Size{})
			w.free, w.held, w.heldFor = w.free.Sub(f.Held), f.Held, f.In
		},
		Made: func(*lookahead.Reservation[int], lookahead.Forecast) { p.made++ },
		Ended: func(r *lookahead.Reservation[int], outcome lookahead.Outcome) {
			if outcome == lookahead.Kept {
				p.kept++
			}
			p.longestReserved = max(p.longestReserved, p.now-r.MadeAt)
		},
	}
}
