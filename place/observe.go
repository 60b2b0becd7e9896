package place

import (
	"math"
	"time"

	"daisyswitch/interference"
	"daisyswitch/resource"
	"daisyswitch/sizing"
	"daisyswitch/wire"
)

const (
	creditAfter  = time.Minute // of running, after which an attempt speaks for its worker
	batchEvery   = 4           // reports of a worker of which one teaches about batch
	smoothing    = 0.5         // weight of a new reading of tail latency
	offsetWeight = 0.1         // weight of a new reading in what the table does not foresee
	offsetBound  = 0.3         // logarithm
	memoryLimit  = 0.95        // share of a worker's memory in use, past which batch is evicted
	partsInAll   = 1e6         // progress is told in parts per million
)

// Observe takes one worker's measurements, which lag behind what the worker does.
func (p *Placer) Observe(now time.Time, r *wire.WorkerReport) {
	p.now = now
	w := p.workers[r.GetWorker().GetName()]
	if w == nil || w.domain == nil {
		return
	}
	shares := p.measure(w, r)
	teachBatch := (r.GetSequence()+uint64(w.slot))%batchEvery == 0
	for _, each := range r.GetTasks() {
		t := p.reported(w, each)
		if t == nil {
			continue
		}
		if t.job.class.service() {
			p.observeLatency(t, each.GetP99Us(), shares)
		} else if teachBatch {
			p.observeProgress(t, each, shares)
		}
	}
	p.assess(w)
}

// ObserveService takes what an entry of the domain measured of one service class since its last sample: replicas whose workers report no latency of their own are judged by it.
func (p *Placer) ObserveService(now time.Time, domain string, s *wire.ServiceSample) {
	p.now = now
	d := p.domains[domain]
	c := p.classes[s.GetClass()]
	if d == nil || c == nil || s.GetRequests() == 0 || s.GetP99Us() <= 0 || c.GetTargetP99Us() <= 0 {
		return
	}
	for _, w := range d.workers {
		if w == nil {
			continue
		}
		for _, t := range w.tasks {
			if t.job.class == c && !t.latency {
				t.take(math.Log(float64(s.GetP99Us()) / float64(c.GetTargetP99Us())))
				p.assess(w)
			}
		}
	}
}

// reported returns the task that a report speaks of, nil if it is not the attempt that this worker is known to run.
func (p *Placer) reported(w *worker, r *wire.TaskReport) *task {
	j := p.jobs[r.GetTask().GetJob()]
	if j == nil {
		return nil
	}
	t := j.tasks[r.GetTask().GetIndex()]
	if t == nil || t.worker != w || t.attempt != r.GetTask().GetAttempt() || t.decision == decidedStart {
		return nil
	}
	return t
}

// measure takes the usage in a report, and returns the shares of its batch programs as used.
func (p *Placer) measure(w *worker, r *wire.WorkerReport) []interference.Share {
	shares := p.scratch[:0]
	w.memory = 0
	for _, each := range r.GetTasks() {
		t := p.reported(w, each)
		if t == nil {
			continue
		}
		used := resource.FromWire(each.GetUsed())
		if used == (resource.Size{}) {
			continue
		}
		w.memory += used.MemoryMiB
		t.used = used
		t.peak.Add(p.now, used, p.options.PeakHalf)
		if !t.job.class.service() {
			shares = addShare(shares, t.job.program, p.usedShare(t))
		}
		p.measured(t)
	}
	w.stale = true
	p.scratch = shares
	return shares
}

func (p *Placer) measured(t *task) {
	if t.measured.IsZero() {
		t.measured = p.now
	}
	age := p.now.Sub(t.measured)
	t.job.peak.Add(p.now, t.used, p.options.PeakHalf)
	if age >= p.options.Warmup {
		t.job.warm = true
	}
	if age >= creditAfter && !t.credited {
		t.credited = true
		p.credit(t.worker)
	}
	if p.ideas.resize && !t.sized && t.decision == undecided {
		if size, _ := p.wanted(t); sizing.Worth(t.committed, size) {
			t.sized = true
			p.outgrown = append(p.outgrown, t)
		}
	}
}

func (p *Placer) usedShare(t *task) float64 {
	return float64(t.used.MilliCPU) / float64(max(1, t.worker.capacity.MilliCPU))
}

func (p *Placer) observeLatency(t *task, p99 int64, shares []interference.Share) {
	target := t.job.class.GetTargetP99Us()
	if p99 <= 0 || target <= 0 {
		return
	}
	t.latency = true
	reading := math.Log(float64(p99))
	level := interference.Level(float64(t.used.MilliCPU))
	if _, known := p.table.Base(t.job.program, level); known {
		missed := reading - p.table.Predict(t.job.program, level, shares)
		t.offset += offsetWeight * (missed - t.offset)
		t.offset = min(offsetBound, max(-offsetBound, t.offset))
	}
	p.table.Learn(t.job.program, level, shares, reading)
	t.take(reading - math.Log(float64(target)))
}

// take smooths one reading of tail latency, given as the logarithm of its ratio to the target.
func (t *task) take(reading float64) {
	if t.ratio == 0 {
		t.ratio = reading
		return
	}
	t.ratio += smoothing * (reading - t.ratio)
}

func (p *Placer) observeProgress(t *task, r *wire.TaskReport, shares []interference.Share) {
	if r.GetProgressPpm() <= 0 || r.GetThrottlePercent() != t.throttle {
		return
	}
	progress := float64(r.GetProgressPpm()) / partsInAll / (1 - float64(t.throttle)/100)
	own := p.usedShare(t)
	p.others = append(p.others[:0], shares...)
	for i := range p.others {
		if p.others[i].Program == t.job.program {
			p.others[i].Share = max(0, p.others[i].Share-own)
		}
	}
	p.table.Learn(t.job.program, 0, p.others, -math.Log(progress))
}

// assess puts a worker on the list of those to be relieved, or to be given back what was taken.
func (p *Placer) assess(w *worker) {
	if w.pressed {
		return
	}
	need := float64(w.memory) > memoryLimit*float64(w.capacity.MemoryMiB)
	for _, t := range w.tasks {
		need = need || t.throttle > 0 || t.job.class.service() && t.ratio > hot
	}
	if need {
		w.pressed = true
		p.pressed = append(p.pressed, w)
	}
}
