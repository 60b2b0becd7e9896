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

// Sharing of workers between serving and filling tasks; headroom is target over tail, so that 1 is just on target.
const (
	slowHeadroom = 0.9                     // below which filling tasks are slowed
	aimHeadroom  = 1.05                    // to which they are slowed
	freeHeadroom = 1.05                    // that must be left when they are given back their speed
	leastCost    = 0.5                     // assumed of each pair, since a cost that seems zero is never surely so
	servingUse   = 0.45                    // of a serving task's processors, on average
	roomShare    = 0.9                     // of a filling task's processors that must be unused
	paceStep     = 10                      // percent
	crawl        = 0.1                     // at which the only task of a workflow starts, whatever it costs; one step of pace
	paceGap      = 600 * time.Millisecond  // between orders on one run: a reading covers half a second and an order works after a tenth
	watchWait    = 300 * time.Millisecond  // of holds on a worker on which a serving task is near its target
	lateTime     = 1500 * time.Millisecond // over target, after which all filling tasks are stopped short; well under the platform's bound on harm
)

// placeHeadroom is what serving tasks must keep when a filling task is placed; the later its workflow, the less is left for its sake.
var placeHeadroom = map[lateness]float64{inTime: 1.2, late: 1.1, useless: 1.05}

// victim is a serving task as a link knows it.
type victim struct {
	image       string
	imageNumber int
	base        headroom.Base
	headroom    float64       // latest reading
	lateAt      time.Duration // boot clock since which it has been over its target, 0 if it is not
}

// filler is a filling task on a worker.
type filler struct {
	r     *run
	image string
	share float64 // of the worker, at the present pace
}

// readTails learns from a listing and slows or frees the filling tasks of the worker; the session's mutex is not held.
func (l *link) readTails(listing *call.Listing) {
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	capacity := float64(l.processors)
	var beside []headroom.Share
	var fillers []filler
	for i := range listing.Running {
		r := l.runs[runKey{listing.Running[i].Task, listing.Running[i].Run}]
		if r == nil || !r.task.Step.Spec.GetFilling() {
			continue
		}
		f := filler{r: r, image: r.task.Step.Spec.GetImage(), share: listing.Running[i].Figure / capacity}
		r.share = f.share
		fillers = append(fillers, f)
		beside = append(beside, headroom.Share{Image: f.image, Share: f.share})
	}
	now := s.Boot()
	l.near = false
	l.spared = 0
	for _, f := range fillers {
		l.spared += f.r.task.Step.Spec.GetSize().GetMilliCpu() * int64(100-f.r.pace) / 100
	}
	for i := range listing.Running {
		key := runKey{listing.Running[i].Task, listing.Running[i].Run}
		if r := l.runs[key]; r != nil && serves(r.task.Step.Spec) && listing.Running[i].Percent >= 100 && listing.Running[i].Figure > 0 {
			l.readVictim(now, key, r.task.Step.Spec, listing.Running[i].Figure, beside)
		}
	}
	for key := range l.victims {
		if l.runs[key] == nil {
			delete(l.victims, key)
		}
	}
	l.revised = l.revised || len(l.victims) > 0 || len(fillers) > 0
	l.slow(now, fillers)
}

func (l *link) readVictim(now time.Duration, key runKey, spec *wire.Step, tail float64, beside []headroom.Share) {
	v := l.victims[key]
	if v == nil {
		v = &victim{image: spec.GetImage(), imageNumber: l.s.imageNumber(spec.GetImage())}
		l.victims[key] = v
	}
	v.headroom = float64(spec.GetTargetMs()) / tail
	v.base.Read(now, v.headroom, l.s.tails.Lost(v.image, beside))
	l.s.tails.Learn(v.image, beside, v.headroom)
	switch {
	case v.headroom >= 1:
		v.lateAt = 0
	case v.lateAt == 0:
		v.lateAt = now
	}
	if v.headroom < aimHeadroom && len(beside) > 0 {
		l.near = true
	}
}

// slow decides the pace of each filling task on the worker and sends what has changed.
func (l *link) slow(now time.Duration, fillers []filler) {
	for i := range fillers {
		f := &fillers[i]
		pace := l.paceFor(now, f, fillers)
		if pace == f.r.pace || f.r.paceBusy || now-f.r.pacedAt < paceGap && pace > f.r.pace {
			continue
		}
		f.r.paceBusy = true
		l.s.tasks.Go(func() { l.sendPace(f.r, pace) })
	}
}

// paceFor returns the pace of a filling task: the least that any serving task beside it needs.
func (l *link) paceFor(now time.Duration, f *filler, fillers []filler) int {
	pace := l.raised(f)
	for _, v := range l.victims {
		switch {
		case v.lateAt != 0 && now-v.lateAt > lateTime:
			return 0
		case v.headroom < slowHeadroom:
			pace = min(pace, l.cut(v, f, fillers))
		}
	}
	return pace
}

// cut returns the pace at which a filling task gives back its part of what a serving task lacks; the costliest give first.
func (l *link) cut(v *victim, f *filler, fillers []filler) int {
	cost := func(f *filler) float64 { return max(leastCost, l.s.tails.Cost(v.image, f.image)) * f.share }
	order := make([]*filler, len(fillers))
	for i := range fillers {
		order[i] = &fillers[i]
	}
	sort.Slice(order, func(i, k int) bool { return cost(order[i]) > cost(order[k]) })
	lacking := aimHeadroom - v.headroom
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

// raised returns the pace to which a slowed task may go back, a step at a time.
func (l *link) raised(f *filler) int {
	if f.r.pace >= 100 {
		return 100
	}
	size := float64(f.r.task.Step.Spec.GetSize().GetMilliCpu()) / float64(l.processors)
	next := min(100, f.r.pace+3*paceStep)
	more := size * float64(next-f.r.pace) / 100
	for _, v := range l.victims {
		if v.headroom-max(leastCost, l.s.tails.Cost(v.image, f.image))*more < freeHeadroom {
			return f.r.pace
		}
	}
	return next
}

func (l *link) sendPace(r *run, percent int) {
	s := l.s
	ctx, cancel := context.WithTimeout(l.ctx, callTime)
	answer, err := s.Calls.Pace(ctx, l.current(), &call.Pace{Task: r.name, Run: r.number, Percent: percent, Fence: s.fence})
	cancel()
	s.paces.Inc()
	accepted := err == nil && answer.Refusal == call.Accepted
	event.RunPaced.Info("task", r.name.String(), "run", r.number, "worker", l.id, "percent", percent, "accepted", accepted)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.paceBusy = false
	r.pacedAt = s.Boot()
	if accepted {
		r.pace, r.percentAt = percent, r.pacedAt
		r.link.revised = true
	}
}

// setFirstPace notes at what pace a run is to work once it has started.
func (s *session) setFirstPace(key runKey, pace int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstPace[key] = pace
}

// paceFirst slows a run that has just started.
func (s *session) paceFirst(r *run) {
	s.mu.Lock()
	pace, set := s.firstPace[r.runKey]
	delete(s.firstPace, r.runKey)
	if set {
		r.paceBusy = true
	}
	s.mu.Unlock()
	if set {
		r.link.sendPace(r, pace)
	}
}

// costs are the believed costs of pairs as of one round, by the numbers of the serving and of the filling image.
type costs [][]float64

// imageNumber returns the number of an image in costs, which it gets when first named; the session's mutex is held.
func (s *session) imageNumber(image string) int {
	number, known := s.images[image]
	if !known {
		number = len(s.images)
		s.images[image] = number
	}
	return number
}

// costsNow returns the costs of all pairs; the session's mutex is held.
func (s *session) costsNow() costs {
	c := make(costs, len(s.images))
	for serving, i := range s.images {
		c[i] = make([]float64, len(s.images))
		for filling, k := range s.images {
			c[i][k] = max(leastCost, s.tails.Cost(serving, filling))
		}
	}
	return c
}

// margin is what a serving task has left of its headroom beside the filling tasks of its worker.
type margin struct {
	image int
	left  float64
}

// imageShare is how much of a worker the filling tasks of an image take, at their paces.
type imageShare struct {
	image int
	share float64
}

// filling returns what the filling tasks of a worker take; the session's mutex is held.
func (l *link) filling() []imageShare {
	var all []imageShare
	for _, r := range l.runs {
		spec := r.task.Step.Spec
		if !spec.GetFilling() {
			continue
		}
		share := float64(spec.GetSize().GetMilliCpu()) / float64(l.processors) * float64(r.pace) / 100
		i := slices.IndexFunc(all, func(s imageShare) bool { return s.image == r.image })
		if i < 0 {
			all = append(all, imageShare{r.image, share})
			continue
		}
		all[i].share += share
	}
	return all
}

// margins returns what each serving task of a worker has left beside filling tasks; the session's mutex is held.
func (l *link) margins(c costs, filling []imageShare) []margin {
	if len(l.victims) == 0 {
		return nil
	}
	margins := make([]margin, 0, len(l.victims))
	for _, v := range l.victims {
		margins = append(margins, margin{v.imageNumber, min(v.base.Now, v.base.Low+placeSlack) - lost(c, filling, v.imageNumber)})
	}
	return margins
}

// lost returns what a serving image loses beside filling tasks.
func lost(c costs, filling []imageShare, image int) float64 {
	lost := 0.0
	for _, f := range filling {
		lost += c[image][f.image] * f.share
	}
	return lost
}

// mostShare returns how much of a worker a filling image may take more, so that every serving task there keeps a headroom.
func mostShare(margins []margin, c costs, image int, kept float64) float64 {
	most := 1.0
	for _, m := range margins {
		most = min(most, (m.left-kept)/c[m.image][image])
	}
	return most
}

// take notes that a filling image takes a share of a worker.
func take(margins []margin, c costs, image int, share float64) {
	for i := range margins {
		margins[i].left -= c[margins[i].image][image] * share
	}
}

// worstCost returns the most that any serving task on a worker loses beside a filling image on all of it.
func worstCost(margins []margin, c costs, image int) float64 {
	worst := 0.0
	for _, m := range margins {
		worst = max(worst, c[m.image][image])
	}
	return worst
}

// placeSlack is by how much the headroom of a serving task may fall once more while a filling task runs; it is slowed then.
const placeSlack = 0.3
