package usage

import (
	"cmp"
	"math"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/interference"
	"daisyswitch/resource"
	"daisyswitch/sizing"
	"daisyswitch/wire"
)

// Options holds how long measurements are kept; a zero field takes its default.
type Options struct {
	Warmup    time.Duration // a task is measured for before its commitment shrinks
	PeakHalf  time.Duration // half of the sliding time over which a peak is taken
	Forgetful bool          // a job's earlier tasks say nothing about its next
	LoadHalf  time.Duration // half of the sliding time whose highest load a service is planned for
	Pace      float64       // share of a worker's processors that batch not measured yet may take beside a service, since what it costs shows only a lag later
}

var defaults = Options{Warmup: 20 * time.Second, PeakHalf: 5 * time.Minute, LoadHalf: time.Minute, Pace: 0.2}

const (
	creditAfter = time.Minute // of running, after which an attempt speaks for its worker
	smoothing   = 0.5         // weight of a new reading of tail latency
)

// Reader takes reports into a fleet; it is used from one goroutine.
type Reader struct {
	Options
	Credit   func(*fleet.Worker) // an attempt has run on the worker for long enough to speak for it
	Outgrown []*fleet.Task       // whose size is to change; emptied by whoever changes it

	fleet  *fleet.Fleet
	shares []interference.Share // of the batch programs in the report being read
}

// New returns a reader for a fleet.
func New(f *fleet.Fleet, o Options) *Reader {
	o.Warmup = cmp.Or(o.Warmup, defaults.Warmup)
	o.PeakHalf = cmp.Or(o.PeakHalf, defaults.PeakHalf)
	o.LoadHalf = cmp.Or(o.LoadHalf, defaults.LoadHalf)
	o.Pace = cmp.Or(o.Pace, defaults.Pace)
	return &Reader{Options: o, fleet: f, Credit: func(*fleet.Worker) {}}
}

// Observe takes one worker's report, and returns the worker, nil if it is not known to be there.
func (u *Reader) Observe(r *wire.WorkerReport) *fleet.Worker {
	w := u.fleet.Workers[r.GetWorker().GetName()]
	if w == nil || w.Domain == nil {
		return nil
	}
	u.measure(w, r)
	for _, each := range r.GetTasks() {
		if each.GetP99Us() <= 0 {
			continue
		}
		if t := u.reported(w, each); t != nil && t.Job.Class.Service() {
			u.learn(t, each.GetP99Us())
		}
	}
	return w
}

// ObserveService takes what the entries of a domain measured of one service class: replicas whose workers report no latency of their own are judged by it. It returns the workers that it speaks of.
func (u *Reader) ObserveService(domain string, s *wire.ServiceSample) []*fleet.Worker {
	d := u.fleet.Domain(domain)
	c := u.fleet.Classes[s.GetClass()]
	if d == nil || c == nil || s.GetRequests() == 0 || s.GetP99Us() <= 0 || c.GetTargetP99Us() <= 0 {
		return nil
	}
	reading := math.Log(float64(s.GetP99Us()) / float64(c.GetTargetP99Us()))
	var list []*fleet.Worker
	for _, w := range d.Workers {
		if w != nil && takeAll(w, c, reading) {
			list = append(list, w)
		}
	}
	return list
}

func takeAll(w *fleet.Worker, c *fleet.Class, reading float64) bool {
	found := false
	for _, t := range w.Tasks {
		if t.Job.Class == c && !t.Latency {
			take(t, reading)
			found = true
		}
	}
	return found
}

// reported returns the task that a report speaks of, nil if it is not the attempt that this worker is known to run.
func (u *Reader) reported(w *fleet.Worker, r *wire.TaskReport) *fleet.Task {
	t := u.fleet.Find(r.GetTask().GetJob(), r.GetTask().GetIndex())
	if t == nil || t.Worker != w || t.Attempt != r.GetTask().GetAttempt() || t.Decision == fleet.DecidedStart {
		return nil
	}
	return t
}

// measure takes the usage in a report, and sums the shares of the batch programs as used.
func (u *Reader) measure(w *fleet.Worker, r *wire.WorkerReport) {
	u.shares = u.shares[:0]
	w.Used = resource.Size{}
	for _, each := range r.GetTasks() {
		t := u.reported(w, each)
		used := resource.FromWire(each.GetUsed())
		if t == nil || used == (resource.Size{}) {
			continue
		}
		w.Used = w.Used.Add(used)
		t.Used = used
		t.Peak.Add(u.fleet.Now, used, u.PeakHalf)
		if t.Job.Class.Service() {
			t.Load.Add(u.fleet.Now, used, u.LoadHalf)
		} else {
			u.shares = addShare(u.shares, t.Job.Program, w.Share(used.MilliCPU))
		}
		u.age(t)
	}
	w.Stale = true
}

// age does what follows from how long a task has been measured.
func (u *Reader) age(t *fleet.Task) {
	if t.Measured.IsZero() {
		t.Measured = u.fleet.Now
	}
	age := u.fleet.Now.Sub(t.Measured)
	if age >= u.Warmup && !t.Sampled {
		u.sample(t)
	}
	if age >= creditAfter && !t.Credited {
		t.Credited = true
		u.Credit(t.Worker)
	}
	if !t.Sized && t.Decision == fleet.Undecided && sizing.Worth(t.Committed, u.Wanted(t)) {
		t.Sized = true
		u.Outgrown = append(u.Outgrown, t)
	}
}

func (u *Reader) sample(t *fleet.Task) {
	t.Sampled = true
	t.Job.Sample.Add(t.Peak.Value())
	t.Job.Sampled++
	if t.Job.Sampled == 1 {
		t.Job.Forecast.Add(t.Peak.Value(), t.Job.Size)
	}
}

// learn takes one reading of a replica's tail latency into the table, and its distance from the target.
func (u *Reader) learn(t *fleet.Task, p99 int64) {
	target := t.Job.Class.GetTargetP99Us()
	if target <= 0 {
		return
	}
	t.Latency = true
	reading := math.Log(float64(p99))
	level := interference.Level(float64(t.Used.MilliCPU))
	if !t.Worker.Overloaded() {
		u.fleet.Table.Learn(t.Job.Program, level, u.shares, reading)
	}
	take(t, reading-math.Log(float64(target)))
}

// take smooths one reading of tail latency, given as the logarithm of its ratio to the target.
func take(t *fleet.Task, reading float64) {
	if t.Ratio == 0 {
		t.Ratio = reading
		return
	}
	t.Ratio += smoothing * (reading - t.Ratio)
}
