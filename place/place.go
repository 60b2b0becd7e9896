package place

import (
	"cmp"
	"math/rand/v2"
	"time"

	"daisyswitch/blame"
	"daisyswitch/fleet"
	"daisyswitch/interference"
	"daisyswitch/pressure"
	"daisyswitch/usage"
	"daisyswitch/wire"
)

// Options holds the tuning parameters of a placer; a zero field takes its default.
type Options struct {
	Seed             uint64        // seed of the random choice of candidate workers
	MaxStarts        int           // limit on starts per Decide
	MaxEvents        int           // limit on task events per Decide
	Candidates       int           // workers per domain that are compared for one start
	SpreadCandidates int           // the same for a job that is spread over domains, racks and workers
	Effort           int           // limit per lane and Decide on failed attempts: a search among workers counts searchCost, a job skipped without one counts 1
	DecideTimeout    time.Duration // how long a decision may wait for its transition before it is reverted
	Settle           time.Duration // how long no new worker capacity must have appeared before all capacities count as known
	Return           time.Duration // how long a worker that is gone is still expected to return
	Keep             time.Duration // how long capacity stays reserved for a task while evictions free it
	Blame            blame.Options
	Interference     interference.Options
	Pressure         pressure.Options
	Usage            usage.Options
}

var defaults = Options{
	Seed:             1,
	MaxStarts:        512,
	MaxEvents:        2048,
	Candidates:       2,
	SpreadCandidates: 64,
	Effort:           1024,
	DecideTimeout:    5 * time.Second,
	Settle:           15 * time.Second,
	Return:           time.Hour,
	Keep:             10 * time.Second,
}

func (o Options) withDefaults() Options {
	o.Seed = cmp.Or(o.Seed, defaults.Seed)
	o.MaxStarts = cmp.Or(o.MaxStarts, defaults.MaxStarts)
	o.MaxEvents = cmp.Or(o.MaxEvents, defaults.MaxEvents)
	o.Candidates = cmp.Or(o.Candidates, defaults.Candidates)
	o.SpreadCandidates = cmp.Or(o.SpreadCandidates, defaults.SpreadCandidates)
	o.Effort = cmp.Or(o.Effort, defaults.Effort)
	o.DecideTimeout = cmp.Or(o.DecideTimeout, defaults.DecideTimeout)
	o.Settle = cmp.Or(o.Settle, defaults.Settle)
	o.Return = cmp.Or(o.Return, defaults.Return)
	o.Keep = cmp.Or(o.Keep, defaults.Keep)
	o.Blame = o.Blame.WithDefaults()
	return o
}

// features are the parts of the policy that TestMeasure can switch off one at a time.
type features struct {
	pairCosts bool // learned interference costs affect the choice of worker and protect the headroom of services
	resize    bool // committed sizes follow the measured peak
	forecast  bool // the initial size is predicted from the program, the declared size and earlier tasks of the job
}

// Throttle reduces the processor share of one attempt by a percentage; 0 removes the throttle.
type Throttle = pressure.Throttle

// Decisions is the result of one Decide; the replicated state may still refuse any of them.
type Decisions struct {
	Starts    []*wire.Start     // urgent tasks first, then by distance of the class from its target
	Events    []*wire.TaskEvent // STOPPING to evict, RESIZE, CANNOT_RUN, GIVE_UP
	Throttles []Throttle        // changes since the last Decide
}

// Placer holds the state of the scheduling policy. It is not safe for concurrent use. A new leader rebuilds it from the replicated state.
type Placer struct {
	options     Options
	features    features
	random      *rand.Rand
	fleet       *fleet.Fleet
	usage       *usage.Reader
	pressure    *pressure.Gauge
	pending     []pending         // decisions without a transition yet, oldest first
	suspended   []*fleet.Worker   // workers suspended for failing tasks
	failingJobs []*fleet.Job      // jobs whose waiting tasks will be given up
	events      []*wire.TaskEvent // task events of the Decide in progress
}

type pending struct {
	task *fleet.Task
	at   time.Time
}

// New returns a placer without workers, jobs or configuration.
func New(o Options) *Placer {
	o = o.withDefaults()
	f := fleet.New(interference.New(o.Interference))
	p := &Placer{
		options:  o,
		features: features{pairCosts: true, resize: true, forecast: true},
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed)),
		fleet:    f,
		usage:    usage.New(f, o.Usage),
		pressure: pressure.New(f, o.Pressure),
	}
	p.usage.Credit = p.recordSuccess
	p.pressure.Evict = p.evict
	return p
}

// SetConfiguration replaces the classes, teams and domains by those of the accepted configuration.
func (p *Placer) SetConfiguration(c *wire.Configuration) {
	p.fleet.SetConfiguration(c)
}

// SetWorker applies a worker's record; no task starts on a worker that is gone.
func (p *Placer) SetWorker(r *wire.WorkerRecord) {
	p.fleet.SetWorker(r)
}

// Observe applies a worker's report, whose measurements lag behind the worker's current state.
func (p *Placer) Observe(now time.Time, r *wire.WorkerReport) {
	p.fleet.SetNow(now)
	if w := p.usage.Observe(r); w != nil {
		p.pressure.Assess(w)
	}
}

// ObserveService applies the latency that an entry in the domain measured for a service class since its last sample.
func (p *Placer) ObserveService(now time.Time, domain string, s *wire.ServiceSample) {
	p.fleet.SetNow(now)
	for _, w := range p.usage.ObserveService(domain, s) {
		p.pressure.Assess(w)
	}
}

// SetTask applies a task's state after a transition, or while the placer is being rebuilt; ended tasks are dropped.
func (p *Placer) SetTask(j *wire.Job, next *wire.Task) {
	if ended(next) && p.fleet.Find(j.GetId(), next.GetIndex()) == nil {
		p.fleet.CountDone(j.GetClass(), next)
		return
	}
	t := p.fleet.Add(j, next.GetIndex())
	p.recordOutcome(t, next)
	committed := p.resolveDecision(t, next)
	p.fleet.Dequeue(t)
	p.fleet.Release(t)
	if !fleet.Waiting(next.GetState()) {
		p.fleet.Unreserve(t)
	}
	if t.Attempt != next.GetAttempt() || !fleet.Holding(next.GetState()) {
		p.pressure.Forget(t)
		t.ForgetMeasurements()
	}
	t.State, t.Attempt, t.Failures = next.GetState(), next.GetAttempt(), next.GetFailures()
	switch {
	case fleet.Waiting(t.State):
		p.fleet.Enqueue(t)
	case fleet.Holding(t.State):
		p.fleet.HoldByName(t, next.GetWorker(), committed)
	default:
		p.fleet.CountDone(j.GetClass(), next)
		p.fleet.Drop(t)
	}
}

func ended(t *wire.Task) bool {
	return !fleet.Waiting(t.GetState()) && !fleet.Holding(t.GetState())
}
