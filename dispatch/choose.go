package dispatch

import (
	"maps"

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
	defer r.s.mu.Unlock()
	c.known = true
	c.margins = c.link.margins(r.costs)
	c.shares, c.harsh = map[shareKey]float64{}, map[int]float64{}
}

// shareFor returns how much of the worker a filling image may take.
func (r *round) shareFor(c *candidate, image int, chance lateness) float64 {
	r.know(c)
	key := shareKey{image, chance}
	share, known := c.shares[key]
	if !known {
		share = mostShare(c.margins, r.costs, image, placeHeadroom[chance])
		c.shares[key] = share
	}
	return share
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

// choose returns the best worker for a task and the pace at which it may work there, nil if there is none.
func (r *round) choose(task *workflow.Task) (*candidate, int) {
	if r.hopeless(task) {
		return nil, 0
	}
	var best, slow *candidate
	bestScore, slowSpeed := 0.0, 0.0
	avoided := r.avoided(task)
	for _, c := range r.pools[task.Step.Job.Queue.GetPool()] {
		if _, failed := avoided[c.GetId()]; failed || !r.allowed(task, c) {
			continue
		}
		if speed := r.speed(task, c); speed < 1 {
			if slow == nil || speed > slowSpeed {
				slow, slowSpeed = c, speed
			}
			continue
		}
		if score := r.score(task, c); best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	if best != nil {
		return best, 100
	}
	least := r.leastSpeed(task)
	if slow == nil || slowSpeed < least && least > crawl {
		if len(avoided) == 0 {
			r.noteHopeless(task)
		}
		return nil, 0
	}
	return slow, int(100*max(slowSpeed, crawl)) / paceStep * paceStep
}

// ask names what tasks that ask for the same have in common.
type ask struct {
	pool    string
	size    resource.Size
	image   string
	chance  lateness
	filling bool
}

// askOf returns what a task asks for; ok is false for one that asks for more than room.
func (r *round) askOf(task *workflow.Task) (a ask, ok bool) {
	s := task.Step.Spec
	if s.GetLasting() || s.GetRequires() != "" || s.GetMaxPerWorker() > 0 || r.chance[task.Step.Job] != inTime && !r.wanting {
		return ask{}, false
	}
	return ask{task.Step.Job.Queue.GetPool(), resource.FromWire(s.GetSize()), s.GetImage(), r.chance[task.Step.Job], s.GetFilling()}, true
}

// hopeless says whether a task asks for at least what another of this round found nowhere.
func (r *round) hopeless(task *workflow.Task) bool {
	a, ok := r.askOf(task)
	if !ok {
		return false
	}
	size := a.size
	a.size = resource.Size{}
	for _, failed := range r.failed[a] {
		if failed.Fits(size) {
			return true
		}
	}
	return false
}

func (r *round) noteHopeless(task *workflow.Task) {
	if a, ok := r.askOf(task); ok {
		size := a.size
		a.size = resource.Size{}
		r.failed[a] = append(r.failed[a], size)
	}
}

// leastSpeed returns how slow a filling task may start: a workflow of which nothing runs gets one task to work in any case.
func (r *round) leastSpeed(task *workflow.Task) float64 {
	if r.idle(task.Step.Job) {
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
func (r *round) speed(task *workflow.Task, c *candidate) float64 {
	spec := task.Step.Spec
	size := float64(spec.GetSize().GetMilliCpu())
	if !spec.GetFilling() || size == 0 {
		return 1
	}
	unused := float64(c.unused) / (roomShare * size)
	share := r.shareFor(c, r.image(task.Step), r.chance[task.Step.Job]) / (size / float64(max(1, c.Capacity.MilliCPU)))
	return max(0, min(1, unused, share))
}

// allowed says whether a task may start on a worker at all.
func (r *round) allowed(task *workflow.Task, c *candidate) bool {
	spec := task.Step.Spec
	size := resource.FromWire(spec.GetSize())
	free := c.free
	if spec.GetFilling() {
		size.MilliCPU, free.MilliCPU = 0, max(0, free.MilliCPU)
	}
	return size.Fits(free) && r.suits(task, c)
}

// suits says whether a worker may run a task when it has room; one that fails its tasks may still run those that have to run somewhere.
func (r *round) suits(task *workflow.Task, c *candidate) bool {
	spec := task.Step.Spec
	if c.suspended && !spec.GetLasting() || !hasLabel(c.GetLabels(), spec.GetRequires()) {
		return false
	}
	limit := spec.GetMaxPerWorker()
	return limit <= 0 || r.on(task.Step, c) < limit
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
func (r *round) score(task *workflow.Task, c *candidate) float64 {
	spec := task.Step.Spec
	score := c.shareOf(c.unused)
	if c.suspended {
		score -= soundWeight
	}
	if rack := spec.GetRack(); rack != "" && hasLabel(c.GetLabels(), rack) {
		score += nearWeight
	}
	if spec.GetSameRack() && r.rackOf(task.Step) == c.GetRack() {
		score += nearWeight
	}
	switch {
	case spec.GetFilling():
		score += harshWeight * r.harshness(c, r.image(task.Step))
	case spec.GetLasting():
		score -= 2 * packWeight * c.shareOf(c.unused)
		score += imageWeight*c.likeness(spec.GetImage()) - apartWeight*float64(r.on(task.Step, c)) - r.lost(c, r.image(task.Step))
	}
	return score
}

// harshness is by how much more the other filling images that wait would hurt a worker's serving tasks than one does.
func (r *round) harshness(c *candidate, image int) float64 {
	r.know(c)
	if known, ok := c.harsh[image]; ok {
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
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return c.link.lost(r.costs, image)
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
