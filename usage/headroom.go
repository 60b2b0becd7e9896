package usage

import (
	"math"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/interference"
)

// guard is the logarithm of the share of its target that a service is planned to reach at most.
var guard = math.Log(0.95)

// headroomFloor keeps the price of a service's last headroom finite.
const headroomFloor = 0.02

// paceFor is how long a task counts as not measured yet, since some workers may report no usage.
const paceFor = 30 * time.Second

// Burden is how much of the services' headroom on a worker a job's task of some share of the processors would take. It is infinite if a service would be planned past its guard, or too much beside it is not measured yet.
func (u *Reader) Burden(j *fleet.Job, w *fleet.Worker, share float64) float64 {
	sum, unmeasured, services := 0.0, 0.0, false
	for _, t := range w.Tasks {
		if !t.Job.Class.Service() {
			if t.Measured.IsZero() && u.fleet.Now.Sub(t.Decided) < paceFor {
				unmeasured += w.Share(t.Committed.MilliCPU)
			}
			continue
		}
		services = true
		takes := u.fleet.Table.Cost(t.Job.Program, j.Program).Mean * share
		left := u.headroom(t) - takes
		if left < 0 && !j.Urgent {
			return math.Inf(1)
		}
		sum += takes / (max(0, left) + takes + headroomFloor)
	}
	if services && !j.Urgent && unmeasured > 0 && unmeasured+share > u.Pace {
		return math.Inf(1)
	}
	return sum
}

// headroom is how far a service on its worker is planned to stay under its guard at the highest load of late, as a logarithm.
func (u *Reader) headroom(t *fleet.Task) float64 {
	target := t.Job.Class.GetTargetP99Us()
	if target <= 0 {
		return math.Inf(1)
	}
	level := interference.Level(float64(t.Load.Value().MilliCPU))
	if _, known := u.fleet.Table.Base(t.Job.Program, level); !known {
		return unknownHeadroom
	}
	foreseen := u.fleet.Table.Predict(t.Job.Program, level, u.neighbors(t.Worker))
	return math.Log(float64(target)) + guard - foreseen
}

// unknownHeadroom is what a service that was never measured is taken to have left, as a logarithm.
const unknownHeadroom = 0.1

// neighbors returns the batch programs on a worker with the processors that they use, or will use once started or no longer throttled.
func (u *Reader) neighbors(w *fleet.Worker) []interference.Share {
	if !w.Stale {
		return w.Shares
	}
	w.Shares = w.Shares[:0]
	for _, t := range w.Tasks {
		if t.Job.Class.Service() {
			continue
		}
		used := t.Committed.MilliCPU
		if !t.Measured.IsZero() {
			used = t.Peak.Value().MilliCPU
		}
		w.Shares = addShare(w.Shares, t.Job.Program, w.Share(used))
	}
	w.Stale = false
	return w.Shares
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
