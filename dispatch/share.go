package dispatch

import (
	"context"
	"slices"
	"sort"
	"time"

	"daisyswitch/call"
	"daisyswitch/event"
	"daisyswitch/headroom"
	"daisyswitch/wire"
)

// Sharing of workers between serving and filling tasks. Headroom is target over tail latency, so that 1 is exactly on target.
const (
	slowHeadroom       = 0.9                     // below which filling tasks are slowed
	targetHeadroom     = 1.05                    // at which slowing them aims
	raiseHeadroom      = 1.05                    // that must remain when their speed is raised again
	minCost            = 0.5                     // least cost assumed for each pair, since an estimate near zero is never certain
	servingUtilization = 0.45                    // share of its processors that a serving task uses on average
	minUnusedShare     = 0.9                     // share of a filling task's processors that must be unused on the worker
	paceStep           = 10                      // percent
	minSpeed           = 0.1                     // at which the only task of a late workflow may start whatever it costs; one step of pace
	minPaceInterval    = 600 * time.Millisecond  // between raises of one run's pace: a reading covers 0.5 s, and a change takes effect after 0.1 s
	shortHoldWait      = 300 * time.Millisecond  // hold wait of a worker on which a serving task is near its target
	maxOverTarget      = 1500 * time.Millisecond // over target, after which all filling tasks get pace 0; well under the platform's bound on harm
)

// placementHeadroom is the headroom that serving tasks must keep when a filling task is placed. It is lower the later the task's workflow is.
var placementHeadroom = map[lateness]float64{inTime: 1.2, late: 1.1, useless: 1.05}

// servingTask is a link's state of a serving task.
type servingTask struct {
	image           string
	imageNumber     int
	baseline        headroom.Baseline
	headroom        float64       // latest reading
	overTargetSince time.Duration // boot clock since which it has been over its target, 0 if it is not
}

// fillingTask is a filling task on a worker.
type fillingTask struct {
	r        *run
	image    string
	cpuShare float64 // share of the worker's processors that it uses
}

// processFigures updates the cost estimates from the figures of a listing and adjusts the paces of the worker's filling tasks. The caller does not hold the session's mutex.
func (l *link) processFigures(listing *call.Listing) {
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	capacity := float64(l.capacityMilliCPU)
	var colocated []headroom.Share
	var fillers []fillingTask
	for i := range listing.Running {
		r := l.runs[runKey{listing.Running[i].Task, listing.Running[i].Run}]
		if r == nil || !r.task.Step.Spec.GetFilling() {
			continue
		}
		f := fillingTask{r: r, image: r.task.Step.Spec.GetImage(), cpuShare: listing.Running[i].LatencyOrCPU / capacity}
		r.cpuShare = f.cpuShare
		fillers = append(fillers, f)
		colocated = append(colocated, headroom.Share{Image: f.image, Share: f.cpuShare})
	}
	now := s.SinceBoot()
	l.nearTarget = false
	l.sparedMilliCPU = 0
	for _, f := range fillers {
		l.sparedMilliCPU += f.r.task.Step.Spec.GetSize().GetMilliCpu() * int64(100-f.r.pace) / 100
	}
	for i := range listing.Running {
		key := runKey{listing.Running[i].Task, listing.Running[i].Run}
		if r := l.runs[key]; r != nil && isServing(r.task.Step.Spec) && listing.Running[i].ProgressPercent >= 100 && listing.Running[i].LatencyOrCPU > 0 {
			l.updateServing(now, key, r.task.Step.Spec, listing.Running[i].LatencyOrCPU, colocated)
		}
	}
	for key := range l.serving {
		if l.runs[key] == nil {
			delete(l.serving, key)
		}
	}
	l.offerChanged = l.offerChanged || len(l.serving) > 0 || len(fillers) > 0
	l.adjustPaces(now, fillers)
}

func (l *link) updateServing(now time.Duration, key runKey, spec *wire.Step, tail float64, colocated []headroom.Share) {
	v := l.serving[key]
	if v == nil {
		v = &servingTask{image: spec.GetImage(), imageNumber: l.s.imageNumber(spec.GetImage())}
		l.serving[key] = v
	}
	v.headroom = float64(spec.GetTargetMs()) / tail
	v.baseline.AddReading(now, v.headroom, l.s.headrooms.TotalLoss(v.image, colocated))
	l.s.headrooms.Learn(v.image, colocated, v.headroom)
	switch {
	case v.headroom >= 1:
		v.overTargetSince = 0
	case v.overTargetSince == 0:
		v.overTargetSince = now
	}
	if v.headroom < targetHeadroom && len(colocated) > 0 {
		l.nearTarget = true
	}
}

// adjustPaces decides the pace of each filling task on the worker and sends the changes.
func (l *link) adjustPaces(now time.Duration, fillers []fillingTask) {
	for i := range fillers {
		f := &fillers[i]
		pace := l.paceFor(now, f, fillers)
		if pace == f.r.pace || f.r.pacePending || now-f.r.pacedAt < minPaceInterval && pace > f.r.pace {
			continue
		}
		f.r.pacePending = true
		l.s.tasks.Go(func() { l.sendPace(f.r, pace) })
	}
}

// paceFor returns the pace of a filling task: the lowest that any serving task beside it requires.
func (l *link) paceFor(now time.Duration, f *fillingTask, fillers []fillingTask) int {
	pace := l.raisedPace(f)
	for _, v := range l.serving {
		switch {
		case v.overTargetSince != 0 && now-v.overTargetSince > maxOverTarget:
			return 0
		case v.headroom < slowHeadroom:
			pace = min(pace, l.reducedPace(v, f, fillers))
		}
	}
	return pace
}

// reducedPace returns the pace at which a filling task contributes its part of the headroom that a serving task lacks. The costliest tasks are slowed first.
func (l *link) reducedPace(v *servingTask, f *fillingTask, fillers []fillingTask) int {
	cost := func(f *fillingTask) float64 { return max(minCost, l.s.headrooms.Cost(v.image, f.image)) * f.cpuShare }
	order := make([]*fillingTask, len(fillers))
	for i := range fillers {
		order[i] = &fillers[i]
	}
	sort.Slice(order, func(i, k int) bool { return cost(order[i]) > cost(order[k]) })
	lacking := targetHeadroom - v.headroom
	for _, other := range order {
		lost := cost(other)
		if other.r != f.r {
			lacking -= lost
			continue
		}
		if lacking <= 0 || lost <= 0 {
			return f.r.pace
		}
		kept := max(0, 1-lacking/lost)
		return int(float64(f.r.pace)*kept) / paceStep * paceStep
	}
	return f.r.pace
}

// raisedPace returns the pace to which a slowed task may be raised, by at most three steps of pace at a time.
func (l *link) raisedPace(f *fillingTask) int {
	if f.r.pace >= 100 {
		return 100
	}
	size := float64(f.r.task.Step.Spec.GetSize().GetMilliCpu()) / float64(l.capacityMilliCPU)
	next := min(100, f.r.pace+3*paceStep)
	more := size * float64(next-f.r.pace) / 100
	for _, v := range l.serving {
		if v.headroom-max(minCost, l.s.headrooms.Cost(v.image, f.image))*more < raiseHeadroom {
			return f.r.pace
		}
	}
	return next
}

func (l *link) sendPace(r *run, percent int) {
	s := l.s
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	answer, err := s.Calls.Pace(ctx, l.currentWorker(), &call.Pace{Task: r.name, Run: r.number, SpeedPercent: percent, Fence: l.fence})
	cancel()
	s.paceCalls.Inc()
	accepted := err == nil && answer.Refusal == call.Accepted
	event.RunPaced.Info("task", r.name.String(), "run", r.number, "worker", l.id, "percent", percent, "accepted", accepted)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.pacePending = false
	r.pacedAt = s.SinceBoot()
	if accepted {
		r.pace, r.progressAt = percent, r.pacedAt
		r.link.offerChanged = true
	}
}

// setInitialPace records the pace that a run gets once it has started.
func (s *session) setInitialPace(key runKey, pace int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialPaces[key] = pace
}

// applyInitialPace slows a run that has just started, if it was placed at less than full pace.
func (s *session) applyInitialPace(r *run) {
	s.mu.Lock()
	pace, set := s.initialPaces[r.runKey]
	delete(s.initialPaces, r.runKey)
	if set {
		r.pacePending = true
	}
	s.mu.Unlock()
	if set {
		r.link.sendPace(r, pace)
	}
}

// costs holds the estimated cost of each pair of images as of one round, indexed by serving and then by filling image.
type costs [][]float64

// imageNumber returns the index of an image in costs, which is assigned on first use. The caller holds the session's mutex.
func (s *session) imageNumber(image string) int {
	number, known := s.allImageNumbers[image]
	if !known {
		number = len(s.allImageNumbers)
		s.allImageNumbers[image] = number
	}
	return number
}

// currentCosts returns the current costs of all pairs. The caller holds the session's mutex.
func (s *session) currentCosts() costs {
	c := make(costs, len(s.allImageNumbers))
	for serving, i := range s.allImageNumbers {
		c[i] = make([]float64, len(s.allImageNumbers))
		for filling, k := range s.allImageNumbers {
			c[i][k] = max(minCost, s.headrooms.Cost(serving, filling))
		}
	}
	return c
}

// margin is the headroom that remains to a serving task beside the filling tasks of its worker.
type margin struct {
	image     int
	remaining float64
}

// imageShare is the share of a worker that the filling tasks of an image take at their paces.
type imageShare struct {
	image int
	share float64
}

// fillingShares returns the shares of the worker that its filling tasks take, by image. The caller holds the session's mutex.
func (l *link) fillingShares() []imageShare {
	var all []imageShare
	for _, r := range l.runs {
		spec := r.task.Step.Spec
		if !spec.GetFilling() {
			continue
		}
		share := float64(spec.GetSize().GetMilliCpu()) / float64(l.capacityMilliCPU) * float64(r.pace) / 100
		i := slices.IndexFunc(all, func(s imageShare) bool { return s.image == r.image })
		if i < 0 {
			all = append(all, imageShare{r.image, share})
			continue
		}
		all[i].share += share
	}
	return all
}

// margins returns the headroom that remains to each serving task beside the given filling tasks. The caller holds the session's mutex.
func (l *link) margins(c costs, filling []imageShare) []margin {
	if len(l.serving) == 0 {
		return nil
	}
	margins := make([]margin, 0, len(l.serving))
	for _, v := range l.serving {
		margins = append(margins, margin{v.imageNumber, min(v.baseline.Now, v.baseline.RecentMin+headroomAllowance) - headroomLoss(c, filling, v.imageNumber)})
	}
	return margins
}

// headroomLoss returns the headroom that a serving image loses beside filling tasks.
func headroomLoss(c costs, filling []imageShare, image int) float64 {
	headroomLoss := 0.0
	for _, f := range filling {
		headroomLoss += c[image][f.image] * f.share
	}
	return headroomLoss
}

// maxAddedShare returns the share of a worker that a filling image may add while every serving task there keeps the given headroom.
func maxAddedShare(margins []margin, c costs, image int, kept float64) float64 {
	most := 1.0
	for _, m := range margins {
		most = min(most, (m.remaining-kept)/c[m.image][image])
	}
	return most
}

// reduceMargins subtracts the cost of a filling image's share of the worker from its margins.
func reduceMargins(margins []margin, c costs, image int, share float64) {
	for i := range margins {
		margins[i].remaining -= c[margins[i].image][image] * share
	}
}

// maxCost returns the highest cost of a filling image to any serving task on a worker.
func maxCost(margins []margin, c costs, image int) float64 {
	worst := 0.0
	for _, m := range margins {
		worst = max(worst, c[m.image][image])
	}
	return worst
}

// headroomAllowance is how far above its recent low the headroom of a serving task is counted in placement. If it falls to that low again, the filling task is slowed.
const headroomAllowance = 0.3
