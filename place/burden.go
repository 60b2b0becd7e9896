package place

import (
	"math"

	"daisyswitch/interference"
	"daisyswitch/resource"
)

// guard is the logarithm of the share of its target that a service is planned to reach at most.
var guard = math.Log(0.9)

// burden is what a batch task on a worker would cost: the part of the services' headroom that it takes, its own slowdown and that of the batch beside it. It is infinite if a service would be planned past its guard.
func (d *round) burden(j *job, w *worker, size resource.Size) float64 {
	share := d.expectedShare(j, w, size)
	sum := 0.0
	for _, t := range w.tasks {
		if !t.job.class.service() {
			sum += d.table.Cost(t.job.program, j.program).Mean * share
			continue
		}
		cost := d.table.Cost(t.job.program, j.program)
		takes := cost.Mean * share
		left := d.headroom(t) - takes
		if left < 0 && !j.GetUrgent() {
			return math.Inf(1)
		}
		left = max(0, left)
		sum += takes / (left + takes + headroomFloor)
	}
	for _, n := range d.neighbors(w) {
		sum += d.table.Cost(j.program, n.Program).Mean * n.Share
	}
	return sum
}

// headroomFloor keeps the price of a service's last headroom finite.
const headroomFloor = 0.02

// expectedShare is the share of a worker's processors that a job's task will use.
func (d *round) expectedShare(j *job, w *worker, size resource.Size) float64 {
	used := size.MilliCPU
	if j.warm {
		used = j.peak.Value().MilliCPU
	}
	return float64(used) / float64(max(1, w.capacity.MilliCPU))
}

// headroom is how far a service on its worker is planned to stay under its guard at the highest load seen of late, as a logarithm.
func (p *Placer) headroom(t *task) float64 {
	target := t.job.class.GetTargetP99Us()
	if target <= 0 {
		return math.Inf(1)
	}
	level := interference.Level(float64(t.peak.Value().MilliCPU))
	foreseen := p.table.Predict(t.job.program, level, p.neighbors(t.worker)) + t.offset
	return math.Log(float64(target)) + guard - foreseen
}

// neighbors returns the programs on a worker with the processors that they use, or will use once started.
func (p *Placer) neighbors(w *worker) []interference.Share {
	if !w.stale {
		return w.shares
	}
	w.shares = w.shares[:0]
	for _, t := range w.tasks {
		used := t.committed.MilliCPU
		if !t.measured.IsZero() {
			used = t.peak.Value().MilliCPU
		}
		if t.job.class.service() {
			continue
		}
		w.shares = addShare(w.shares, t.job.program, float64(used)/float64(max(1, w.capacity.MilliCPU)))
	}
	w.stale = false
	return w.shares
}

func addShare(shares []interference.Share, program interference.Program, share float64) []interference.Share {
	for i := range shares {
		if shares[i].Program == program {
			shares[i].Share += share
			return shares
		}
	}
	return append(shares, interference.Share{Program: program, Share: share})
}
