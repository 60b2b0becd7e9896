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

// Options holds what a placer is tuned by; a zero field takes its default.
type Options struct {
	Seed             uint64        // of the random choice among workers
	MaxStarts        int           // per Decide
	MaxEvents        int           // per Decide
	Candidates       int           // workers of a domain compared for one start
	SpreadCandidates int           // the same for a job that is spread
	Effort           int           // spent on one lane in one Decide: searchEffort for a search among workers, 1 for a job passed over without one
	DecideTimeout    time.Duration // how long a decision waits for its transition before it is taken back
	Settle           time.Duration // without a new kind of worker, after which all workers are taken as known
	Return           time.Duration // how long a worker that is gone is expected back
	Keep             time.Duration // how long room that is being made is kept for the task that it is made for
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

// ideas are the parts of the policy that measurement switches off one at a time.
type ideas struct {
	pairs    bool // learned pair costs choose the worker and keep services' headroom
	resize   bool // commitments follow the measured peak
	forecast bool // tasks start at what program, declared size and earlier tasks of the job let expect
}

// Throttle takes a share of the processors away from one attempt; 0 gives them back.
type Throttle = pressure.Throttle

// Decisions is what one Decide asks for; the replicated state may still refuse each of them.
type Decisions struct {
	Starts    []*wire.Start     // urgent first, then by distance from target
	Events    []*wire.TaskEvent // STOPPING to evict, RESIZE, CANNOT_RUN, GIVE_UP
	Throttles []Throttle        // those that changed since the last Decide
}

// Placer holds what the policy knows; it is used from one goroutine, and is rebuilt on a new leader by telling it everything again.
type Placer struct {
	options   Options
	ideas     ideas
	random    *rand.Rand
	fleet     *fleet.Fleet
	usage     *usage.Reader
	pressure  *pressure.Gauge
	pending   []pending         // decisions that no transition has answered, in order of their time
	suspended []*fleet.Worker   // those that fail what they start
	bad       []*fleet.Job      // whose waiting tasks are to be given up
	events    []*wire.TaskEvent // for the Decide in progress
}

type pending struct {
	task *fleet.Task
	at   time.Time
}

// New returns a placer that knows nothing yet.
func New(o Options) *Placer {
	o = o.withDefaults()
	f := fleet.New(interference.New(o.Interference))
	p := &Placer{
		options:  o,
		ideas:    ideas{pairs: true, resize: true, forecast: true},
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed)),
		fleet:    f,
		usage:    usage.New(f, o.Usage),
		pressure: pressure.New(f, o.Pressure),
	}
	p.usage.Credit = p.credit
	p.pressure.Evict = p.evict
	return p
}

// SetConfiguration takes the accepted classes, teams and domains.
func (p *Placer) SetConfiguration(c *wire.Configuration) {
	p.fleet.SetConfiguration(c)
}

// SetWorker takes a worker's record; one that is gone starts nothing more.
func (p *Placer) SetWorker(r *wire.WorkerRecord) {
	p.fleet.SetWorker(r)
}

// Observe takes one worker's measurements, which lag behind what the worker does.
func (p *Placer) Observe(now time.Time, r *wire.WorkerReport) {
	p.fleet.SetNow(now)
	if w := p.usage.Observe(r); w != nil {
		p.pressure.Assess(w)
	}
}

// ObserveService takes what an entry of the domain measured of one service class since its last sample.
func (p *Placer) ObserveService(now time.Time, domain string, s *wire.ServiceSample) {
	p.fleet.SetNow(now)
	for _, w := range p.usage.ObserveService(domain, s) {
		p.pressure.Assess(w)
	}
}

// SetTask takes a task's state after a transition, or at the rebuild of a placer; ended tasks are dropped.
func (p *Placer) SetTask(j *wire.Job, next *wire.Task) {
	if ended(next) && p.fleet.Find(j.GetId(), next.GetIndex()) == nil {
		p.fleet.CountDone(j.GetClass(), next)
		return
	}
	t := p.fleet.Add(j, next.GetIndex())
	p.judge(t, next)
	committed := p.answer(t, next)
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
		p.fleet.HoldNamed(t, next.GetWorker(), committed)
	default:
		p.fleet.CountDone(j.GetClass(), next)
		p.fleet.Drop(t)
	}
}

func ended(t *wire.Task) bool {
	return !fleet.Waiting(t.GetState()) && !fleet.Holding(t.GetState())
}
