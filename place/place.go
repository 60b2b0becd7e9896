package place

import (
	"math/rand/v2"
	"time"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Options holds what a placer is tuned by; a zero field takes its default.
type Options struct {
	Seed         uint64        // of the random choice among equal workers
	MaxStarts    int           // per Decide
	MaxEvents    int           // per Decide
	Candidates   int           // workers compared for one start
	BlockedJobs  int           // jobs of one lane passed over in one Decide because they do not fit
	StartTimeout time.Duration // how long a proposed start is waited for before the task is decided again
	Settle       time.Duration // without a new worker, after which all workers are taken as known
}

var defaults = Options{
	Seed:         1,
	MaxStarts:    512,
	MaxEvents:    2048,
	Candidates:   16,
	BlockedJobs:  16,
	StartTimeout: 5 * time.Second,
	Settle:       15 * time.Second,
}

func (o Options) withDefaults() Options {
	if o.Seed == 0 {
		o.Seed = defaults.Seed
	}
	if o.MaxStarts == 0 {
		o.MaxStarts = defaults.MaxStarts
	}
	if o.MaxEvents == 0 {
		o.MaxEvents = defaults.MaxEvents
	}
	if o.Candidates == 0 {
		o.Candidates = defaults.Candidates
	}
	if o.BlockedJobs == 0 {
		o.BlockedJobs = defaults.BlockedJobs
	}
	if o.StartTimeout == 0 {
		o.StartTimeout = defaults.StartTimeout
	}
	if o.Settle == 0 {
		o.Settle = defaults.Settle
	}
	return o
}

// Throttle takes a share of the processors away from one attempt; 0 gives them back.
type Throttle struct {
	Job     string
	Index   int32
	Attempt uint32
	Percent int32
}

// Decisions is what one Decide asks for; the replicated state may still refuse each of them.
type Decisions struct {
	Starts    []*wire.Start     // urgent first, then by distance from target
	Events    []*wire.TaskEvent // STOPPING to evict, RESIZE, CANNOT_RUN, GIVE_UP
	Throttles []Throttle        // all that are throttled now, and with 0 those just released
}

// Placer holds what the policy knows; it is used from one goroutine, and is rebuilt on a new leader by telling it everything again.
type Placer struct {
	options Options
	random  *rand.Rand
	now     time.Time
	classes map[string]*class
	teams   map[string]*team
	domains map[string]*domain
	workers map[string]*worker
	jobs    map[string]*job
	lanes   map[laneKey]*lane
	shapes  map[resource.Size]*shape // capacities of all workers ever told of

	proposed []*task // in order of their timeout
	total    resource.Size
	changed  time.Time // when a capacity was last seen for the first time
}

// New returns a placer that knows nothing yet.
func New(o Options) *Placer {
	o = o.withDefaults()
	return &Placer{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
		classes: make(map[string]*class),
		teams:   make(map[string]*team),
		domains: make(map[string]*domain),
		workers: make(map[string]*worker),
		jobs:    make(map[string]*job),
		lanes:   make(map[laneKey]*lane),
		shapes:  make(map[resource.Size]*shape),
	}
}

// Observe takes one worker's measurements, which lag behind what the worker does.
func (p *Placer) Observe(now time.Time, _ *wire.WorkerReport) {
	p.now = now
}

// ObserveService takes what an entry of the domain measured of one service class since its last sample.
func (p *Placer) ObserveService(now time.Time, _ string, _ *wire.ServiceSample) {
	p.now = now
}
