package place

import (
	"cmp"
	"math/rand/v2"
	"time"

	"daisyswitch/blame"
	"daisyswitch/interference"
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
	StartTimeout time.Duration // how long a decision is waited for before it is taken again
	Settle       time.Duration // without a new worker, after which all workers are taken as known
	Return       time.Duration // how long a worker that is gone is expected back
	Lag          time.Duration // from an order to the first measurement that shows its effect
	Warmup       time.Duration // a task is measured for before its commitment shrinks
	PeakHalf     time.Duration // half of the sliding time over which a peak is taken
	Blame        blame.Options
	Interference interference.Options
}

var defaults = Options{
	Seed:         1,
	MaxStarts:    512,
	MaxEvents:    2048,
	Candidates:   16,
	BlockedJobs:  16,
	StartTimeout: 5 * time.Second,
	Settle:       15 * time.Second,
	Return:       time.Hour,
	Lag:          5 * time.Second,
	Warmup:       20 * time.Second,
	PeakHalf:     5 * time.Minute,
}

func (o Options) withDefaults() Options {
	o.Seed = cmp.Or(o.Seed, defaults.Seed)
	o.MaxStarts = cmp.Or(o.MaxStarts, defaults.MaxStarts)
	o.MaxEvents = cmp.Or(o.MaxEvents, defaults.MaxEvents)
	o.Candidates = cmp.Or(o.Candidates, defaults.Candidates)
	o.BlockedJobs = cmp.Or(o.BlockedJobs, defaults.BlockedJobs)
	o.StartTimeout = cmp.Or(o.StartTimeout, defaults.StartTimeout)
	o.Settle = cmp.Or(o.Settle, defaults.Settle)
	o.Return = cmp.Or(o.Return, defaults.Return)
	o.Lag = cmp.Or(o.Lag, defaults.Lag)
	o.Warmup = cmp.Or(o.Warmup, defaults.Warmup)
	o.PeakHalf = cmp.Or(o.PeakHalf, defaults.PeakHalf)
	o.Blame = o.Blame.WithDefaults()
	return o
}

// ideas are the parts of the policy that measurement switches off one at a time.
type ideas struct {
	pairs      bool // learned pair costs choose the worker and keep services' headroom
	resize     bool // commitments follow the measured peak
	learn      bool // later tasks of a job start at the peak of its earlier ones
	throttle   bool // batch is throttled before it is evicted
	hysteresis bool // one step per measurement lag, released only well under target
}

var allIdeas = ideas{pairs: true, resize: true, learn: true, throttle: true, hysteresis: true}

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
	ideas   ideas
	random  *rand.Rand
	now     time.Time
	classes map[string]*class
	teams   map[string]*team
	domains map[string]*domain
	ordered []*domain // by name
	workers map[string]*worker
	jobs    map[string]*job
	lanes   map[laneKey]*lane
	shapes  map[resource.Size]*shape // capacities of all workers ever told of
	table   *interference.Table
	total   resource.Size
	changed time.Time // when a capacity was last seen for the first time

	pending   []pending // decisions that the state has not answered, in order of their time
	pressed   []*worker // measured since the last Decide, and with something to relieve
	outgrown  []*task   // measured since the last Decide, and to be resized
	throttled []*task
	released  []Throttle // since the last Decide
	suspended []*worker
	reserved  []*worker
	bad       []*job // whose waiting tasks are to be given up

	scratch, others []interference.Share // reused by Observe
}

type pending struct {
	task *task
	at   time.Time
}

// New returns a placer that knows nothing yet.
func New(o Options) *Placer {
	o = o.withDefaults()
	return &Placer{
		options: o,
		ideas:   allIdeas,
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
		classes: make(map[string]*class),
		teams:   make(map[string]*team),
		domains: make(map[string]*domain),
		workers: make(map[string]*worker),
		jobs:    make(map[string]*job),
		lanes:   make(map[laneKey]*lane),
		shapes:  make(map[resource.Size]*shape),
		table:   interference.New(o.Interference),
	}
}
