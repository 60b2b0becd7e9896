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

// Options holds the periods and limits for using measurements; a zero field takes its default.
type Options struct {
	Warmup    time.Duration // how long a batch task is measured before its committed size may shrink
	PeakHalf  time.Duration // half of the sliding window for a task's peak
	Forgetful bool          // ignore a job's earlier tasks when sizing its next; not implemented
	LoadHalf  time.Duration // half of the sliding window whose highest load a service is planned for
	Pace      float64       // limit on the processor share of unmeasured batch beside a service, whose interference shows only after the measurement lag
}

var defaults = Options{Warmup: 20 * time.Second, PeakHalf: 5 * time.Minute, LoadHalf: time.Minute, Pace: 0.2}

const (
	creditAfter = time.Minute // of running, after which an attempt counts as a success of its worker
	smoothing   = 0.5         // weight of a new tail latency reading
)

// Reader applies reports to a fleet. It is not safe for concurrent use.
type Reader struct {
	Options
	Credit           func(*fleet.Worker) // called once an attempt has run long enough to count as a success of its worker
	ResizeCandidates []*fleet.Task       // tasks to resize; the caller that resizes them empties the list

	fleet  *fleet.Fleet
	shares []interference.Share // of the batch programs in the current report
}

// New returns a reader for a fleet.
func New(f *fleet.Fleet, o Options) *Reader {
	o.Warmup = cmp.Or(o.Warmup, defaults.Warmup)
	o.PeakHalf = cmp.Or(o.PeakHalf, defaults.PeakHalf)
	o.LoadHalf = cmp.Or(o.LoadHalf, defaults.LoadHalf)
	o.Pace = cmp.Or(o.Pace, defaults.Pace)
	return &Reader{Options: o, fleet: f, Credit: func(*fleet.Worker) {}}
}

// Observe applies a worker's report, and returns the worker, or nil if it is unknown or gone.
func (u *Reader) Observe(r *wire.WorkerReport) *fleet.Worker {
	w := u.fleet.Workers[r.GetWorker().GetName()]
	if w == nil || w.Domain == nil {
		return nil
	}
	u.recordUsage(w, r)
	for _, report := range r.GetTasks() {
		if report.GetP99Us() <= 0 {
			continue
		}
		if t := u.reportedTask(w, report); t != nil && t.Job.Class.Service() {
			u.recordLatency(t, report.GetP99Us())
		}
	}
	return w
}

// ObserveService applies the latency that the entries of a domain measured for a service class to replicas whose workers report no latency. It returns the workers of these replicas.
func (u *Reader) ObserveService(domain string, s *wire.ServiceSample) []*fleet.Worker {
	d := u.fleet.Domain(domain)
	c := u.fleet.Classes[s.GetClass()]
	if d == nil || c == nil || s.GetRequests() == 0 || s.GetP99Us() <= 0 || c.GetTargetP99Us() <= 0 {
		return nil
	}
	reading := math.Log(float64(s.GetP99Us()) / float64(c.GetTargetP99Us()))
	var list []*fleet.Worker
	for _, w := range d.Workers {
		if w != nil && smoothRatios(w, c, reading) {
			list = append(list, w)
		}
	}
	return list
}

func smoothRatios(w *fleet.Worker, c *fleet.Class, reading float64) bool {
	found := false
	for _, t := range w.Tasks {
		if t.Job.Class == c && !t.ReportsLatency {
			smoothRatio(t, reading)
			found = true
		}
	}
	return found
}

// reportedTask returns the task that a report refers to, or nil if this attempt is not known to run on the worker.
func (u *Reader) reportedTask(w *fleet.Worker, r *wire.TaskReport) *fleet.Task {
	t := u.fleet.Find(r.GetTask().GetJob(), r.GetTask().GetIndex())
	if t == nil || t.Worker != w || t.Attempt != r.GetTask().GetAttempt() || t.Decision == fleet.DecidedStart {
		return nil
	}
	return t
}

// recordUsage applies the usage in a report, and sums the measured processor shares by batch program.
func (u *Reader) recordUsage(w *fleet.Worker, r *wire.WorkerReport) {
	u.shares = u.shares[:0]
	w.Used = resource.Size{}
	for _, report := range r.GetTasks() {
		t := u.reportedTask(w, report)
		used := resource.FromWire(report.GetUsed())
		if t == nil || used == (resource.Size{}) {
			continue
		}
		w.Used = w.Used.Add(used)
		t.Used = used
		t.Peak.Add(u.fleet.Now, used, u.PeakHalf)
		if t.Job.Class.Service() {
			t.RecentPeak.Add(u.fleet.Now, used, u.LoadHalf)
		} else {
			u.shares = addShare(u.shares, t.Job.Program, w.Share(used.MilliCPU))
		}
		u.age(t)
	}
	w.SharesStale = true
}

// age performs the steps that depend on how long a task has been measured.
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
	if !t.ResizeQueued && t.Decision == fleet.Undecided && sizing.WorthResizing(t.Committed, u.Wanted(t)) {
		t.ResizeQueued = true
		u.ResizeCandidates = append(u.ResizeCandidates, t)
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

// recordLatency applies a reading of a replica's tail latency to the interference table and to the replica's ratio to its target. The table skips readings from overloaded workers.
func (u *Reader) recordLatency(t *fleet.Task, p99 int64) {
	target := t.Job.Class.GetTargetP99Us()
	if target <= 0 {
		return
	}
	t.ReportsLatency = true
	reading := math.Log(float64(p99))
	level := interference.Level(float64(t.Used.MilliCPU))
	if !t.Worker.Overloaded() {
		u.fleet.Table.Learn(t.Job.Program, level, u.shares, reading)
	}
	smoothRatio(t, reading-math.Log(float64(target)))
}

// smoothRatio adds a tail latency reading, the logarithm of its ratio to the target, to the task's smoothed ratio.
func smoothRatio(t *fleet.Task, reading float64) {
	if t.LogLatencyRatio == 0 {
		t.LogLatencyRatio = reading
		return
	}
	t.LogLatencyRatio += smoothing * (reading - t.LogLatencyRatio)
}
