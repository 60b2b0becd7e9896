package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"daisyswitch/pick"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	slots        = 8
	meanService  = 20 * time.Millisecond
	tailShape    = 1.5 // shape of the Pareto distribution of service times, truncated at 200 times the minimum
	farDelay     = 500 * time.Microsecond
	loadsEvery   = 100 * time.Millisecond
	queueTimeout = 2 * time.Second
	highestUS    = int64(1e9)      // upper bound of recorded latencies, microseconds
	deadEntry    = 3 * time.Second // until the last reported counts of a dead entry are discarded
)

type entry struct {
	index, next int
	dead        bool
	candidates  []*pick.Candidate
	reported    []int32 // in-flight counts at the last report
	waiting     []request
}

type request struct {
	arrived time.Duration
	service time.Duration
	entry   *entry
	sent    time.Duration
	target  int
}

type executor struct {
	busy  int
	queue []request
}

type event struct {
	at  time.Duration
	do  func()
	tie int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].tie < e[j].tie
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Result holds the latencies and refusals of a run.
type Result struct {
	Latency *hdrhistogram.Histogram // microseconds, from arrival at the entry to its response
	Refused int                     // requests that waited longer than the limit
}

// simulation runs entries and executors in virtual time. A run is deterministic for a given seed.
type simulation struct {
	Scenario
	Policy
	now       time.Duration
	ties      int
	pending   events
	arrivals  *rand.Rand // the same for every policy
	rng       *rand.Rand
	entries   []*entry
	executors []executor
	latency   *hdrhistogram.Histogram // microseconds
	refused   int
}

const entryCount = 9

var epoch = time.Unix(1_000_000, 0)

func (s *simulation) schedule(d time.Duration, do func()) {
	s.ties++
	heap.Push(&s.pending, event{s.now + d, do, s.ties})
}

// Run simulates a scenario. The result is deterministic for a given seed.
func Run(sc Scenario, p Policy, seed uint64, requests int) Result {
	s := &simulation{Scenario: sc, Policy: p, latency: hdrhistogram.New(1, highestUS, 3),
		arrivals: rand.New(rand.NewPCG(seed, 1)), rng: rand.New(rand.NewPCG(seed, 2)), executors: make([]executor, sc.Executors)}
	quotas := sc.quotas()
	for i := range entryCount {
		e := &entry{index: i, next: s.rng.IntN(sc.Executors), reported: make([]int32, sc.Executors)}
		for x := range sc.Executors {
			e.candidates = append(e.candidates, &pick.Candidate{
				Health: pick.Health{Slowness: 1}, Slots: slots, Limit: 64 / entryCount, Quota: quotas[i][x]})
		}
		s.entries = append(s.entries, e)
	}
	s.scheduleEvery(loadsEvery, s.exchangeCounts)
	s.scheduleEvery(2*loadsEvery, s.assess)
	s.scheduleEvery(10*time.Millisecond, func() { s.expire() })
	if sc.domainOut {
		s.schedule(2*time.Second, func() { s.setDomainBarred(true) })
		s.schedule(4*time.Second, func() { s.setDomainBarred(false) })
	}
	if sc.entryLost && !p.ideal {
		s.schedule(2*time.Second, func() { s.entries[0].dead = true })
		s.schedule(2*time.Second+deadEntry, func() { clear(s.entries[0].reported) })
	}
	gap := float64(meanService) / (sc.Load * slots * float64(sc.Executors))
	var arrive func()
	arrive = func() {
		s.arrive()
		if requests--; requests > 0 {
			s.schedule(time.Duration(s.arrivals.ExpFloat64()*gap), arrive)
		}
	}
	s.schedule(0, arrive)
	for requests > 0 {
		next := heap.Pop(&s.pending).(event)
		s.now = next.at
		next.do()
	}
	s.recordWaiting()
	return Result{Latency: s.latency, Refused: s.refused}
}

// recordWaiting records the requests that still wait, with their waiting time so far, so that an unbounded queue shows in the latencies.
func (s *simulation) recordWaiting() {
	for _, x := range s.executors {
		for _, r := range x.queue {
			s.record(r)
		}
	}
	for _, e := range s.entries {
		for _, r := range e.waiting {
			s.record(r)
		}
	}
}

func (s *simulation) scheduleEvery(d time.Duration, do func()) {
	s.schedule(d, func() { do(); s.scheduleEvery(d, do) })
}

// quotas returns the quota of each entry on each executor.
func (sc Scenario) quotas() [][]int32 {
	entries, shares := make([]pick.Member, entryCount), make([]pick.Share, sc.Executors)
	for i := range entries {
		entries[i] = pick.Member{Name: fmt.Sprint("e", i), Domain: fmt.Sprint(i % sc.domains)}
	}
	for x := range shares {
		shares[x] = pick.Share{ID: fmt.Sprint("u", x), Domain: fmt.Sprint(x % sc.domains), Slots: slots}
	}
	quotas := make([][]int32, entryCount)
	for i, e := range entries {
		quotas[i] = pick.Quotas(e, entries, shares)
	}
	return quotas
}

func (s *simulation) service() time.Duration {
	if s.constantService {
		return meanService
	}
	least := float64(meanService) * (tailShape - 1) / tailShape / (1 - math.Pow(200, 1-tailShape))
	return time.Duration(least * min(200, math.Pow(1-s.arrivals.Float64(), -1/tailShape)))
}

func (s *simulation) arrive() {
	r := request{arrived: s.now, service: s.service()}
	at := s.arrivals.IntN(entryCount)
	if s.skewedCallers && s.arrivals.IntN(4) == 0 {
		at -= at % s.domains
	}
	if s.ideal {
		at = 0
	}
	for s.entries[at].dead && !s.ideal {
		at = s.arrivals.IntN(entryCount)
	}
	r.entry = s.entries[at]
	if len(r.entry.waiting) > 0 || !s.send(r) {
		r.entry.waiting = append(r.entry.waiting, r)
	}
}

func (s *simulation) send(r request) bool {
	e := r.entry
	x := s.choose(s, e)
	if x == pick.None {
		return false
	}
	e.candidates[x].OwnInFlight++
	r.target, r.sent = x, s.now
	s.schedule(s.delay(e, x), func() { s.deliver(r) })
	return true
}

func (s *simulation) delay(e *entry, x int) time.Duration {
	switch {
	case s.ideal:
		return 0
	case x%s.domains == e.index%s.domains:
		return farDelay / 5
	}
	return farDelay
}

func (s *simulation) deliver(r request) {
	x := &s.executors[r.target]
	if x.busy == slots {
		x.queue = append(x.queue, r)
		return
	}
	x.busy++
	service := r.service
	if s.slow && r.target == 0 {
		service *= 10
	}
	s.schedule(service, func() {
		x.busy--
		if len(x.queue) > 0 {
			next := x.queue[0]
			x.queue = x.queue[1:]
			s.deliver(next)
		}
		s.schedule(s.delay(r.entry, r.target), func() { s.answer(r) })
	})
}

func (s *simulation) answer(r request) {
	c := r.entry.candidates[r.target]
	c.OwnInFlight--
	c.RecordResponse(s.now - r.sent)
	s.record(r)
	s.drain(r.entry)
}

// record adds the latency of a request. It omits the first second, the warm-up, and requests of dead entries.
func (s *simulation) record(r request) {
	if r.arrived > time.Second && !r.entry.dead {
		s.latency.RecordValue(min(highestUS, (s.now - r.arrived).Microseconds())) //nolint:errcheck // the value is within the bounds
	}
}

func (s *simulation) drain(e *entry) {
	for len(e.waiting) > 0 && !e.dead && s.send(e.waiting[0]) {
		e.waiting = e.waiting[1:]
	}
}

func (s *simulation) expire() {
	for _, e := range s.entries {
		for len(e.waiting) > 0 && s.now-e.waiting[0].arrived > queueTimeout {
			e.waiting = e.waiting[1:]
			s.refused++
		}
	}
}

// exchangeCounts exchanges the in-flight counts between the entries.
func (s *simulation) exchangeCounts() {
	for _, e := range s.entries {
		for x, c := range e.candidates {
			if !e.dead {
				e.reported[x] = c.OwnInFlight
			}
		}
	}
	for _, e := range s.entries {
		for x, c := range e.candidates {
			c.OthersInFlight = 0
			for _, other := range s.entries {
				if other != e {
					c.OthersInFlight += other.reported[x]
				}
			}
		}
		s.drain(e)
	}
}

func (s *simulation) assess() {
	for _, e := range s.entries {
		pick.Assess(epoch.Add(s.now), e.candidates)
	}
}

func (s *simulation) setDomainBarred(out bool) {
	for _, e := range s.entries {
		for x := 0; x < s.Executors; x += s.domains {
			e.candidates[x].Ineligible = out
		}
	}
}
