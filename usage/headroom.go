package usage

import (
	"math"
	"time"

	"daisyswitch/fleet"
	"daisyswitch/interference"
)

// logPlannedRatio is the logarithm of the highest ratio of latency to target that placement plans for.
var logPlannedRatio = math.Log(0.95)

// headroomFloor keeps the cost of a service's last headroom finite.
const headroomFloor = 0.02

// unmeasuredTimeout is how long after its start decision a task without measurements counts as unmeasured. It is bounded because some workers may report no usage.
const unmeasuredTimeout = 30 * time.Second

// HeadroomCost returns how much of the services' headroom on a worker a task of the job would use, given the task's share of the processors. It is infinite if the predicted latency of a service would exceed its planned limit, or if too much batch beside it is not measured yet. Neither applies to urgent jobs.
func (u *Reader) HeadroomCost(j *fleet.Job, w *fleet.Worker, share float64) float64 {
	sum, unmeasured, services := 0.0, 0.0, false
	for _, t := range w.Tasks {
		if !t.Job.Class.Service() {
			if t.Measured.IsZero() && u.fleet.Now.Sub(t.Decided) < unmeasuredTimeout {
				unmeasured += w.Share(t.Committed.MilliCPU)
			}
			continue
		}
		services = true
		cost := u.fleet.Table.Cost(t.Job.Program, j.Program).Mean * share
		left := u.headroom(t) - cost
		if left < 0 && !j.Urgent {
			return math.Inf(1)
		}
		sum += cost / (max(0, left) + cost + headroomFloor)
	}
	if services && !j.Urgent && unmeasured > 0 && unmeasured+share > u.Pace {
		return math.Inf(1)
	}
	return sum
}

// headroom returns how far the predicted latency of a service, at its highest recent load, stays below its planned limit, as a logarithm.
func (u *Reader) headroom(t *fleet.Task) float64 {
	target := t.Job.Class.GetTargetP99Us()
	if target <= 0 {
		return math.Inf(1)
	}
	level := interference.Level(float64(t.RecentPeak.Value().MilliCPU))
	if _, known := u.fleet.Table.Base(t.Job.Program, level); !known {
		return unknownHeadroom
	}
	predicted := u.fleet.Table.Predict(t.Job.Program, level, u.neighbors(t.Worker))
	return math.Log(float64(target)) + logPlannedRatio - predicted
}

// unknownHeadroom is the assumed headroom of a service that was never measured, as a logarithm.
const unknownHeadroom = 0.1

// neighbors returns the batch programs on a worker with their processor shares: peak usage, which throttling does not hide, or the committed size for a task that is not measured yet.
func (u *Reader) neighbors(w *fleet.Worker) []interference.Share {
	if !w.SharesStale {
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
	w.SharesStale = false
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
