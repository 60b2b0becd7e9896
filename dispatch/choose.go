package dispatch

import (
	"maps"
	"math"

	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// shareOf returns a number of thousandths of a core as a share of the worker.
func (c *candidate) shareOf(milliCPU int64) float64 {
	return float64(milliCPU) / float64(max(1, c.Capacity.MilliCPU))
}

// know works out what the serving tasks of a worker bear.
func (r *round) know(c *candidate) {
	if c.known {
		return
	}
	r.s.mu.Lock()
	c.filling = c.link.filling()
	c.margins = c.link.margins(r.costs, c.filling)
	r.s.mu.Unlock()
	c.known = true
	images := len(r.costs)
	all := make([]float64, (len(c.shares)+1)*images)
	for i := range c.shares {
		c.shares[i], all = all[:images], all[images:]
	}
	c.harsh = all
	for i := range c.harsh {
		c.harsh[i] = math.NaN()
	}
	c.forgetShares()
}

// forgetShares has the shares worked out anew when they are next asked for.
func (c *candidate) forgetShares() {
	for _, shares := range c.shares {
		for i := range shares {
			shares[i] = -1
		}
	}
}

// shareFor returns how much of the worker a filling image may take, 0 if nothing.
func (r *round) shareFor(c *candidate, image int, chance lateness) float64 {
	r.know(c)
	share := &c.shares[chance][image]
	if *share < 0 {
		*share = max(0, mostShare(c.margins, r.costs, image, placeHeadroom[chance]))
	}
	return *share
}

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
	offers []offer
	most   int64 // thousandths of a core that the largest such task could ask for
}

// chooserFor works out what each worker offers to the tasks of a step.
func (r *round) chooserFor(step *workflow.Step) *chooser {
	pool := r.pools[step.Job.Queue.GetPool()]
	ch := &chooser{r: r, step: step, offers: make([]offer, 0, len(pool))}
	for _, c := range pool {
		if most := r.mostFor(step, c); most > ch.most {
			ch.most = most
		}
		if o := (offer{c: c}); ch.renew(&o) {
			ch.offers = append(ch.offers, o)
		}
	}
	return ch
}

// renew works out an offer anew, and returns false if there is none.
func (ch *chooser) renew(o *offer) bool {
	ch.r.s.looks.Inc()
	o.speed, o.score = 0, 0
	if !ch.r.allowed(ch.step, o.c) {
		return false
	}
	o.speed = ch.r.speed(ch.step, o.c)
	if o.speed >= 1 {
		o.score = ch.r.score(ch.step, o.c)
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
	if slow == nil || slow.speed < least && least > crawl {
		if len(avoided) == 0 {
			ch.r.noteHopeless(ch.step, ch.most)
		}
		return nil, 0
	}
	return slow.c, int(100*max(slow.speed, crawl)) / paceStep * paceStep
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

// ask names what steps that ask for the same have in common, but for the size.
type ask struct {
	pool    string
	image   string
	chance  lateness
	filling bool
}

// askOf returns what a step asks for; ok is false for one that asks for more than room.
func (r *round) askOf(step *workflow.Step) (a ask, ok bool) {
	s, chance := step.Spec, r.chance[step.Job]
	if s.GetLasting() || s.GetRequires() != "" || s.GetMaxPerWorker() > 0 || chance != inTime && !r.wanting {
		return ask{}, false
	}
	return ask{step.Job.Queue.GetPool(), s.GetImage(), chance, s.GetFilling()}, true
}

// hopeless says whether a step asks for at least what found no room in this round.
func (r *round) hopeless(step *workflow.Step) bool {
	a, ok := r.askOf(step)
	if !ok {
		return false
	}
	size := resource.FromWire(step.Spec.GetSize())
	if most, known := r.most[a]; known && size.MilliCPU > most {
		return true
	}
	for _, failed := range r.failed[a] {
		if failed.Fits(size) {
			return true
		}
	}
	return false
}

// noteHopeless keeps a size that found no room and the most that any could ask for; what follows in the round only takes room.
func (r *round) noteHopeless(step *workflow.Step, most int64) {
	a, ok := r.askOf(step)
	if !ok {
		return
	}
	r.most[a] = most
	if size := resource.FromWire(step.Spec.GetSize()); size.MilliCPU <= most {
		r.failed[a] = append(r.failed[a], size)
	}
}

// mostFor returns the thousandths of a core that a task like a step's could ask for on a worker, memory aside.
func (r *round) mostFor(step *workflow.Step, c *candidate) int64 {
	if !step.Spec.GetFilling() {
		return c.free.MilliCPU
	}
	share := r.shareFor(c, r.image(step), r.chance[step.Job])
	return int64(min(float64(c.unused)/roomShare, share*float64(c.Capacity.MilliCPU)))
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
func (r *round) speed(step *workflow.Step, c *candidate) float64 {
	spec := step.Spec
	size := float64(spec.GetSize().GetMilliCpu())
	if !spec.GetFilling() || size == 0 {
		return 1
	}
	unused := float64(c.unused) / (roomShare * size)
	share := r.shareFor(c, r.image(step), r.chance[step.Job]) / (size / float64(max(1, c.Capacity.MilliCPU)))
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
func (r *round) score(step *workflow.Step, c *candidate) float64 {
	spec := step.Spec
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
		score += harshWeight * r.harshness(c, r.image(step))
	case spec.GetLasting():
		score -= 2 * packWeight * c.shareOf(c.unused)
		score += imageWeight*c.likeness(spec.GetImage()) - apartWeight*float64(r.on(step, c)) - r.lost(c, r.image(step))
	}
	return score
}

// harshness is by how much more the other filling images that wait would hurt a worker's serving tasks than one does.
func (r *round) harshness(c *candidate, image int) float64 {
	r.know(c)
	if known := c.harsh[image]; !math.IsNaN(known) {
		return known
	}
	total, count := 0.0, 0
	for other, tasks := range r.fills {
		total += float64(tasks) * worstCost(c.margins, r.costs, other)
		count += tasks
	}
	harsh := total/float64(max(1, count)) - worstCost(c.margins, r.costs, image)
	c.harsh[image] = harsh
	return harsh
}

// lastingImages counts the lasting tasks of a worker by image.
func (c *candidate) lastingImages() map[string]int {
	if c.images != nil {
		return c.images
	}
	c.images = map[string]int{}
	for task := range c.Tasks {
		if task.Step.Spec.GetLasting() {
			c.images[task.Step.Spec.GetImage()]++
		}
	}
	return c.images
}

// likeness is higher the more of a worker's lasting tasks have an image, and below 0 where most have others.
func (c *candidate) likeness(image string) float64 {
	same, other := c.lastingImages()[image], 0
	for _, count := range c.images {
		other += count
	}
	other -= same
	return float64(same-2*other) / float64(max(1, same+other))
}

// lost returns the headroom that a serving image would lose on a worker.
func (r *round) lost(c *candidate, image int) float64 {
	r.know(c)
	return lost(r.costs, c.filling, image)
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
