package fleet

import (
	"cmp"
	"slices"
	"time"

	"daisyswitch/interference"
	"daisyswitch/resource"
	"daisyswitch/room"
	"daisyswitch/sizing"
	"daisyswitch/wire"
)

// Fleet is the complete view of the policy. It is not safe for concurrent use.
type Fleet struct {
	Now        time.Time // as last set by SetNow
	Classes    map[string]*Class
	Teams      map[string]*Team
	Domains    []*Domain // sorted by name
	Workers    map[string]*Worker
	Jobs       map[string]*Job
	Lanes      map[LaneKey]*Lane
	Shapes     map[resource.Size]*Shape // by capacity, of all workers ever seen
	Table      *interference.Table
	Total      resource.Size // total capacity of the workers that are present
	NewShapeAt time.Time     // when the most recent new capacity appeared
	Reserved   []*Worker

	programs map[string]*sizing.Forecast
}

// Class is a class with counts of its tasks.
type Class struct {
	*wire.Class
	Running int // tasks that hold capacity, committed or proposed
	Waiting int
	day     int64 // the UTC day, in days since 1970, that done counts
	done    int64
}

// Team is a team with its quota and usage.
type Team struct {
	Name    string
	Quota   resource.Size
	Limited bool
	Used    resource.Size // total quota charge of its committed and proposed tasks
}

// Domain is a failure domain with its workers.
type Domain struct {
	Name    string
	Out     bool
	Rooms   *room.Index
	Workers []*Worker // indexed by slot of Rooms; nil for a free slot
}

// Shape is a worker capacity that at least one worker has or had.
type Shape struct {
	Workers   int
	ChangedAt time.Time // when a worker of this capacity last joined or left
}

// New returns an empty fleet that uses table for interference costs.
func New(table *interference.Table) *Fleet {
	return &Fleet{
		Classes:  make(map[string]*Class),
		Teams:    make(map[string]*Team),
		Workers:  make(map[string]*Worker),
		Jobs:     make(map[string]*Job),
		Lanes:    make(map[LaneKey]*Lane),
		Shapes:   make(map[resource.Size]*Shape),
		Table:    table,
		programs: make(map[string]*sizing.Forecast),
	}
}

// SetNow sets the current time. Capacities that were added before the first call count as added at that time.
func (f *Fleet) SetNow(now time.Time) {
	if f.Now.IsZero() {
		f.NewShapeAt = now
		for _, s := range f.Shapes {
			s.ChangedAt = now
		}
	}
	f.Now = now
}

// SetConfiguration applies the accepted classes, teams and domains. Classes that it does not name have no target, teams no quota, and domains are not out.
func (f *Fleet) SetConfiguration(c *wire.Configuration) {
	for name, known := range f.Classes {
		known.Class = &wire.Class{Name: name}
	}
	for _, configured := range c.GetClasses() {
		f.class(configured.GetName()).Class = configured
	}
	for _, known := range f.Teams {
		known.Limited = false
	}
	for _, configured := range c.GetTeams() {
		known := f.team(configured.GetName())
		known.Quota = resource.FromWire(configured.GetQuota())
		known.Limited = true
	}
	for _, known := range f.Domains {
		known.Out = false
	}
	for _, configured := range c.GetDomains() {
		f.domain(configured.GetName()).Out = configured.GetOut()
	}
}

func (f *Fleet) class(name string) *Class {
	c := f.Classes[name]
	if c == nil {
		c = &Class{Class: &wire.Class{Name: name}}
		f.Classes[name] = c
	}
	return c
}

func (f *Fleet) team(name string) *Team {
	t := f.Teams[name]
	if t == nil {
		t = &Team{Name: name}
		f.Teams[name] = t
	}
	return t
}

func (f *Fleet) domain(name string) *Domain {
	if d := f.Domain(name); d != nil {
		return d
	}
	d := &Domain{Name: name, Rooms: room.New()}
	f.Domains = append(f.Domains, d)
	slices.SortFunc(f.Domains, func(a, b *Domain) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// Domain returns a failure domain, or nil if it is not known.
func (f *Fleet) Domain(name string) *Domain {
	for _, d := range f.Domains {
		if d.Name == name {
			return d
		}
	}
	return nil
}

func (f *Fleet) program(name string) *sizing.Forecast {
	known := f.programs[name]
	if known == nil {
		known = &sizing.Forecast{}
		f.programs[name] = known
	}
	return known
}

// Service reports whether the class is latency-critical.
func (c *Class) Service() bool {
	return c.GetKind() == wire.ClassKind_CLASS_KIND_SERVICE
}

// CountDone adds a completed task to its class's volume of the day on which it completed.
func (f *Fleet) CountDone(class string, t *wire.Task) {
	if t.GetState() != wire.TaskState_TASK_STATE_DONE {
		return
	}
	c := f.class(class)
	day := t.GetChangedMs() / dayLength.Milliseconds()
	if day > c.day {
		c.day, c.done = day, 0
	}
	if day == c.day {
		c.done++
	}
}

// Distance returns how far a class is from its target, from 0 for on target to 1 for no progress towards it.
func (f *Fleet) Distance(c *Class) float64 {
	if c.Service() {
		return float64(c.Waiting) / float64(max(1, c.Waiting+c.Running))
	}
	if c.GetTargetVolume() <= 0 {
		return 0
	}
	due := f.due(c) * float64(c.GetTargetVolume())
	done := int64(0)
	if c.day == f.Now.UnixMilli()/dayLength.Milliseconds() {
		done = c.done
	}
	if float64(done) >= due {
		return 0
	}
	return 1 - float64(done)/due
}

// due returns the share of a class's daily volume that is due by now.
func (f *Fleet) due(c *Class) float64 {
	sinceMidnight := f.Now.Sub(f.Now.Truncate(dayLength))
	due := time.Duration(c.GetDueMinute()) * time.Minute
	if sinceMidnight >= due {
		return 1
	}
	return float64(sinceMidnight) / float64(due)
}

const dayLength = 24 * time.Hour

// Charge returns the size that a task of the job counts towards its team's quota: its committed size or, for a replica, its declared size, so that growing replicas never prevent the replacement of another.
func (j *Job) Charge(committed resource.Size) resource.Size {
	if j.Class.Service() {
		return j.Size
	}
	return committed
}

// WithinQuota reports whether the team's quota allows one more task of the job. A team without usage may always start one, since the task was admitted by its declared size.
func (j *Job) WithinQuota(size resource.Size) bool {
	t := j.Team
	return !t.Limited || t.Used == (resource.Size{}) || t.Used.Add(j.Charge(size)).Fits(t.Quota)
}

// DominantShare returns a team's dominant share: the largest share of any one resource of the fleet that it uses.
func (f *Fleet) DominantShare(t *Team) float64 {
	share := 0.0
	for _, amounts := range [3][2]int64{
		{t.Used.MilliCPU, f.Total.MilliCPU},
		{t.Used.MemoryMiB, f.Total.MemoryMiB},
		{t.Used.Accelerators, f.Total.Accelerators},
	} {
		if amounts[1] > 0 {
			share = max(share, float64(amounts[0])/float64(amounts[1]))
		}
	}
	return share
}
