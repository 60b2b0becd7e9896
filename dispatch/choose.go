package dispatch

import (
	"maps"

	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// avoided returns the workers that failed a task; one that lasts has to run somewhere.
func (r *round) avoided(task *workflow.Task) map[string]struct{} {
	if task.Step.Spec.GetLasting() {
		return nil
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return maps.Clone(r.s.failedOn[task.Name()])
}

// offer is what one worker offers to the tasks of a step.
type offer struct {
	c     *candidate
	speed float64 // share of its full speed at which a task would work, 0 if it may not start
	score float64 // at full speed; the highest is best
}

// chooser picks workers for the tasks of one step; the offers hold while only this step's tasks are placed.
type chooser struct {
	r      *round
	step   *workflow.Step
	image  int // its number in costs
	chance lateness
	since  int // round before which no worker had room, 0 if that is not known
	offers []offer
}

// chooserFor works out what each worker offers to the tasks of a step, but for those that offered nothing when last looked at.
func (r *round) chooserFor(step *workflow.Step) *chooser {
	ch := &chooser{r: r, step: step, image: r.image(step), chance: r.chance[step.Job], offers: r.s.offers[:0]}
	if d := r.shortageFor(step); d != nil {
		ch.since = d.round
	}
	for _, c := range ch.pool() {
		if c.changed <= ch.since {
			continue
		}
		if o := (offer{c: c}); ch.renew(&o) {
			ch.offers = append(ch.offers, o)
		}
	}
	r.s.offers = ch.offers
	return ch
}

func (ch *chooser) pool() []*candidate {
	return ch.r.pools[ch.step.Job.Queue.GetPool()]
}

// renew works out an offer anew, and returns false if there is none.
func (ch *chooser) renew(o *offer) bool {
	ch.r.s.looks.Inc()
	o.speed, o.score = 0, 0
	if !ch.r.allowed(ch.step, o.c) {
		return false
	}
	o.speed = ch.speed(o.c)
	if o.speed >= 1 {
		o.score = ch.score(o.c)
	}
	return o.speed > 0
}

// choose returns the best worker for a task and the pace at which it may work there, nil if there is none.
func (ch *chooser) choose(task *workflow.Task) (*candidate, int) {
	var best, slow *offer
	avoided := ch.r.avoided(task)
	for i := range ch.offers {
		o := &ch.offers[i]
		if _, failed := avoided[o.c.GetId()]; failed || o.speed == 0 {
			continue
		}
		switch {
		case o.speed < 1:
			if slow == nil || o.speed > slow.speed {
				slow = o
			}
		case best == nil || o.score > best.score:
			best = o
		}
	}
	if best != nil {
		return best.c, 100
	}
	least := ch.r.leastSpeed(ch.step)
	if slow != nil && (slow.speed >= least || least <= crawl) {
		return slow.c, int(100*max(slow.speed, crawl)) / paceStep * paceStep
	}
	if c := ch.crawler(avoided); least <= crawl && c != nil {
		return c, 100 * crawl
	}
	if len(avoided) == 0 {
		ch.noteShortage()
	}
	return nil, 0
}

// crawler returns the worker with the most unused processors for a filling task for which no worker has any left, nil for other tasks.
func (ch *chooser) crawler(avoided map[string]struct{}) *candidate {
	if !ch.step.Spec.GetFilling() {
		return nil
	}
	var best *candidate
	for _, c := range ch.pool() {
		if _, failed := avoided[c.GetId()]; failed || !ch.r.allowed(ch.step, c) {
			continue
		}
		if best == nil || c.unused > best.unused {
			best = c
		}
	}
	return best
}

// placed renews the offer of a worker on which a task has just been placed.
func (ch *chooser) placed(c *candidate) {
	for i := range ch.offers {
		if ch.offers[i].c == c {
			ch.renew(&ch.offers[i])
			return
		}
	}
}

// leastSpeed returns how slow a filling task may start: a workflow of which nothing runs gets one task to work in any case.
func (r *round) leastSpeed(step *workflow.Step) float64 {
	if r.idle(step.Job) {
		return crawl
	}
	return 1
}

// idle says whether nothing of a late workflow runs, or will by this round, and no workflow that can be in time wants the room.
func (r *round) idle(j *workflow.Job) bool {
	if r.chance[j] == inTime || r.wanting {
		return false
	}
	for _, step := range j.Steps {
		if len(r.placed[step]) > 0 {
			return false
		}
		for _, task := range step.Tasks {
			if task.Worker != nil {
				return false
			}
		}
	}
	return true
}

// speed returns at what share of its speed a task may work on a worker; only filling tasks work at less than 1.
func (ch *chooser) speed(c *candidate) float64 {
	spec := ch.step.Spec
	size := float64(spec.GetSize().GetMilliCpu())
	if !spec.GetFilling() || size == 0 {
		return 1
	}
	unused := float64(c.unused) / (roomShare * size)
	share := ch.r.shareFor(c, ch.image, ch.chance) / (size / float64(max(1, c.Capacity.MilliCPU)))
	return max(0, min(1, unused, share))
}

// allowed says whether a task may start on a worker at all.
func (r *round) allowed(step *workflow.Step, c *candidate) bool {
	spec := step.Spec
	size := resource.FromWire(spec.GetSize())
	free := c.free
	if spec.GetFilling() {
		size.MilliCPU, free.MilliCPU = 0, max(0, free.MilliCPU)
	}
	return size.Fits(free) && r.suits(step, c)
}

// suits says whether a worker may run a task when it has room; one that fails its tasks may still run those that have to run somewhere.
func (r *round) suits(step *workflow.Step, c *candidate) bool {
	spec := step.Spec
	if c.suspended && !spec.GetLasting() || !hasLabel(c.GetLabels(), spec.GetRequires()) {
		return false
	}
	limit := spec.GetMaxPerWorker()
	return limit <= 0 || r.on(step, c) < limit
}

func hasLabel(labels []string, label string) bool {
	if label == "" {
		return true
	}
	for _, l := range labels {
		if l == label {
			return true
		}
	}
	return false
}

// on counts the tasks of a step on a worker, with those placed in this round.
func (r *round) on(step *workflow.Step, c *candidate) int32 {
	count := r.placed[step][c]
	for _, task := range step.Tasks {
		if task.Worker == c.Worker {
			count++
		}
	}
	return count
}

// Weights of the score, each worth that much of a worker's free share.
const (
	soundWeight = 100  // a worker that fails its tasks comes last
	nearWeight  = 10.0 // a task away from its data or its step's rack takes several times as long
	harshWeight = 0.1  // filling tasks go where others would hurt the serving ones more, for each unit of headroom on a whole worker
	packWeight  = 1.0  // lasting tasks gather on few workers, so that some stay free for what hurts them
	imageWeight = 2.0  // lasting tasks of one image gather, since a filling image is harmless to some images and not to others
	apartWeight = 0.2  // lasting tasks of a step go apart, so that one lost worker takes few of them
)

// score says how well a worker suits a task that may start there; the highest is best.
func (ch *chooser) score(c *candidate) float64 {
	r, step, spec := ch.r, ch.step, ch.step.Spec
	score := c.shareOf(c.unused)
	if c.suspended {
		score -= soundWeight
	}
	if rack := spec.GetRack(); rack != "" && hasLabel(c.GetLabels(), rack) {
		score += nearWeight
	}
	if spec.GetSameRack() && r.rackOf(step) == c.GetRack() {
		score += nearWeight
	}
	switch {
	case spec.GetFilling():
		score += harshWeight * r.harshness(c, ch.image)
	case spec.GetLasting():
		score -= 2 * packWeight * c.shareOf(c.unused)
		score += imageWeight*c.likeness(spec.GetImage()) - apartWeight*float64(r.on(step, c)) - r.lost(c, ch.image)
	}
	return score
}

// image returns the number of a step's image in costs.
func (r *round) image(step *workflow.Step) int {
	return r.numbers[step.Spec.GetImage()]
}

// rackOf returns the rack of a step's tasks, empty if none is placed.
func (r *round) rackOf(step *workflow.Step) string {
	if rack := r.racks[step]; rack != "" {
		return rack
	}
	for _, task := range step.Tasks {
		if task.Worker != nil {
			return task.Worker.GetRack()
		}
	}
	return ""
}
