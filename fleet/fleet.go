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

// Fleet is the whole of it, used from one goroutine.
type Fleet struct {
	Now      time.Time // of the last call that told the time
	Classes  map[string]*Class
	Teams    map[string]*Team
	Domains  []*Domain // by name
	Workers  map[string]*Worker
	Jobs     map[string]*Job
	Lanes    map[LaneKey]*Lane
	Shapes   map[resource.Size]*Shape // capacities of all workers ever told of
	Table    *interference.Table
	Total    resource.Size // capacity of all workers
	Changed  time.Time     // when a capacity was last seen for the first time
	Reserved []*Worker

	programs map[string]*sizing.Forecast
}

// Class is a class with the count of its tasks.
type Class struct {
	*wire.Class
	Running int // committed and proposed tasks
	Waiting int
	day     int64 // days since 1970, UTC, that done counts
	done    int64
}

// Team is a team with what its tasks hold.
type Team struct {
	Name    string
	Quota   resource.Size
	Limited bool
	Used    resource.Size // what its tasks that are committed or proposed count for
}

// Domain is a failure domain with its workers.
type Domain struct {
	Name    string
	Out     bool
	Rooms   *room.Index
	Workers []*Worker // by slot of Rooms, nil where a worker went
}

// Shape is one capacity that some worker has or had.
type Shape struct {
	Workers int
	Gone    time.Time // when the last of them went
}

// New returns a fleet of nothing that notes costs in table.
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

// SetNow takes the time; what was told before the first time is taken as told then.
func (f *Fleet) SetNow(now time.Time) {
	if f.Now.IsZero() {
		f.Changed = now
		for _, s := range f.Shapes {
			s.Gone = now
		}
	}
	f.Now = now
}

// SetConfiguration takes the accepted classes, teams and domains; what it no longer names has no target, no quota and is in.
func (f *Fleet) SetConfiguration(c *wire.Configuration) {
	for name, known := range f.Classes {
		known.Class = &wire.Class{Name: name}
	}
	for _, each := range c.GetClasses() {
		f.class(each.GetName()).Class = each
	}
	for _, known := range f.Teams {
		known.Limited = false
	}
	for _, each := range c.GetTeams() {
		known := f.team(each.GetName())
		known.Quota = resource.FromWire(each.GetQuota())
		known.Limited = true
	}
	for _, known := range f.Domains {
		known.Out = false
	}
	for _, each := range c.GetDomains() {
		f.domain(each.GetName()).Out = each.GetOut()
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

// Domain returns a failure domain, nil if it was never named.
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

// CountDone adds an ended task to the volume of the day on which it was done.
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

// Distance returns how far a class is from its target, from 0 for on target to 1 for nothing of it reached.
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

// due returns the share of a day's volume that should be done by now.
func (f *Fleet) due(c *Class) float64 {
	sinceMidnight := f.Now.Sub(f.Now.Truncate(dayLength))
	due := time.Duration(c.GetDueMinute()) * time.Minute
	if sinceMidnight >= due {
		return 1
	}
	return float64(sinceMidnight) / float64(due)
}

const dayLength = 24 * time.Hour

// Charge returns what a task of the job counts for in its team's quota: what is committed, but for a replica its declared size, so that growing replicas never keep another from being replaced.
func (j *Job) Charge(committed resource.Size) resource.Size {
	if j.Class.Service() {
		return j.Size
	}
	return committed
}

// WithinQuota reports whether the team may start one more task of a job; the first always may, since it was admitted by its declared size.
func (j *Job) WithinQuota(size resource.Size) bool {
	t := j.Team
	return !t.Limited || t.Used == (resource.Size{}) || t.Used.Add(j.Charge(size)).Fits(t.Quota)
}

// Dominant returns the largest share of all room that a team holds.
func (f *Fleet) Dominant(t *Team) float64 {
	share := 0.0
	for _, each := range [3][2]int64{
		{t.Used.MilliCPU, f.Total.MilliCPU},
		{t.Used.MemoryMiB, f.Total.MemoryMiB},
		{t.Used.Accelerators, f.Total.Accelerators},
	} {
		if each[1] > 0 {
			share = max(share, float64(each[0])/float64(each[1]))
		}
	}
	return share
}
