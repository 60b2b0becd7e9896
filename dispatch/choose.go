package dispatch

import (
	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// excludedWorkers returns the workers from which a task is kept off at present. A lasting task excludes none, since it has to run somewhere.
func (r *round) excludedWorkers(task *workflow.Task) map[string]struct{} {
	if task.Step.Spec.GetLasting() {
		return nil
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	exclusions := r.s.excluded[task.Name()]
	if len(exclusions) == 0 {
		return nil
	}
	now, excluded := r.s.SinceBoot(), map[string]struct{}{}
	for worker, e := range exclusions {
		if now < e.until {
			excluded[worker] = struct{}{}
		}
	}
	return excluded
}

// offer describes how well one worker suits the tasks of a step.
type offer struct {
	c     *candidate
	speed float64 // share of full speed at which a task would run, 0 if it may not start
	score float64 // set only at full speed; higher is better
}

// chooser selects workers for the tasks of one step. Its offers stay valid only while no other step's tasks are placed.
type chooser struct {
	r                *round
	step             *workflow.Step
	imageNumber      int // its index in costs
	expectedLateness lateness
	sinceRound       int // round as of which no worker had room, 0 if unknown
	offers           []offer
}

// newChooser computes the offers of all workers for a step, skipping those that had no room at the last look and have not changed.
func (r *round) newChooser(step *workflow.Step) *chooser {
	ch := &chooser{r: r, step: step, imageNumber: r.imageNumber(step), expectedLateness: r.expectedLateness[step.Job], offers: r.s.offers[:0]}
	if d := r.shortageFor(step); d != nil {
		ch.sinceRound = d.round
	}
	for _, c := range ch.pool() {
		if c.changedRound <= ch.sinceRound {
			continue
		}
		if o := (offer{c: c}); ch.refresh(&o) {
			ch.offers = append(ch.offers, o)
		}
	}
	r.s.offers = ch.offers
	return ch
}

func (ch *chooser) pool() []*candidate {
	return ch.r.pools[ch.step.Job.Queue.GetPool()]
}

// refresh recomputes an offer and returns false if the task may not start there.
func (ch *chooser) refresh(o *offer) bool {
	ch.r.s.offerLooks.Inc()
	o.speed, o.score = 0, 0
	if !ch.r.mayStart(ch.step, o.c) {
		return false
	}
	o.speed = ch.speed(o.c)
	if o.speed >= 1 {
		o.score = ch.score(o.c)
	}
	return o.speed > 0
}

// choose returns the best worker for a task and the pace in percent at which it may run there, or nil if no worker has room.
func (ch *chooser) choose(task *workflow.Task) (*candidate, int) {
	var best, slowed *offer
	excludedWorkers := ch.r.excludedWorkers(task)
	for i := range ch.offers {
		o := &ch.offers[i]
		if _, excluded := excludedWorkers[o.c.GetId()]; excluded || o.speed == 0 {
			continue
		}
		switch {
		case o.speed < 1:
			if slowed == nil || o.speed > slowed.speed {
				slowed = o
			}
		case best == nil || o.score > best.score:
			best = o
		}
	}
	if best != nil {
		return best.c, 100
	}
	minStart := ch.r.minStartSpeed(ch.step)
	if slowed != nil && (slowed.speed >= minStart || minStart <= minSpeed) {
		return slowed.c, int(100*max(slowed.speed, minSpeed)) / paceStep * paceStep
	}
	if c := ch.minSpeedCandidate(excludedWorkers); minStart <= minSpeed && c != nil {
		return c, 100 * minSpeed
	}
	if len(excludedWorkers) == 0 {
		ch.recordShortage()
	}
	return nil, 0
}

// minSpeedCandidate returns the eligible worker with the most unused processors, for a filling task that no worker can run faster. It returns nil for other tasks.
func (ch *chooser) minSpeedCandidate(excludedWorkers map[string]struct{}) *candidate {
	if !ch.step.Spec.GetFilling() {
		return nil
	}
	var best *candidate
	for _, c := range ch.pool() {
		if _, excluded := excludedWorkers[c.GetId()]; excluded || !ch.r.mayStart(ch.step, c) {
			continue
		}
		if best == nil || c.unused > best.unused {
			best = c
		}
	}
	return best
}

// placed recomputes the offer of a worker after a placement or reservation on it.
func (ch *chooser) placed(c *candidate) {
	for i := range ch.offers {
		if ch.offers[i].c == c {
			ch.refresh(&ch.offers[i])
			return
		}
	}
}

// minStartSpeed returns the lowest speed at which a filling task may start. A late workflow with no running task may start one at minimum speed.
func (r *round) minStartSpeed(step *workflow.Step) float64 {
	if r.mayStartAtMinSpeed(step.Job) {
		return minSpeed
	}
	return 1
}

// mayStartAtMinSpeed reports whether a late workflow has no task running or placed in this round, and no in-time workflow is waiting for the room.
func (r *round) mayStartAtMinSpeed(j *workflow.Job) bool {
	if r.expectedLateness[j] == inTime || r.inTimeWaits {
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

// speed returns the share of full speed at which a task may run on a worker. Only filling tasks run below 1.
func (ch *chooser) speed(c *candidate) float64 {
	spec := ch.step.Spec
	size := float64(spec.GetSize().GetMilliCpu())
	if !spec.GetFilling() || size == 0 {
		return 1
	}
	unused := float64(c.unused) / (minUnusedShare * size)
	share := ch.r.availableShare(c, ch.imageNumber, ch.expectedLateness) / (size / float64(max(1, c.Capacity.MilliCPU)))
	return max(0, min(1, unused, share))
}

// mayStart reports whether a worker has room for a task and is eligible for it. A filling task needs no free processors for that.
func (r *round) mayStart(step *workflow.Step, c *candidate) bool {
	spec := step.Spec
	size := resource.FromWire(spec.GetSize())
	free := c.free
	if c.withheld.any {
		free = r.freeFor(step, c)
	}
	switch {
	case spec.GetFilling():
		size.MilliCPU, free.MilliCPU = 0, max(0, free.MilliCPU)
	case spec.GetLasting():
		free = free.Add(c.kept)
	}
	return size.Fits(free) && r.isEligible(step, c)
}

// isEligible reports whether a worker may run a task, room aside. A suspended worker may still run lasting tasks, which have to run somewhere.
func (r *round) isEligible(step *workflow.Step, c *candidate) bool {
	spec := step.Spec
	if c.suspended && !spec.GetLasting() || !hasLabel(c.GetLabels(), spec.GetRequires()) {
		return false
	}
	limit := spec.GetMaxPerWorker()
	return limit <= 0 || r.countOn(step, c) < limit
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

// countOn counts the tasks of a step on a worker, including those placed in this round.
func (r *round) countOn(step *workflow.Step, c *candidate) int32 {
	count := r.placed[step][c]
	for _, task := range step.Tasks {
		if task.Worker == c.Worker {
			count++
		}
	}
	return count
}

// Weights of the score, relative to a worker's unused share.
const (
	healthWeight        = 100  // a suspended worker ranks last
	localityWeight      = 10.0 // a task away from its data or its step's rack takes several times as long
	costAdvantageWeight = 0.1  // for filling tasks, per unit of headroom on a whole worker: prefers workers where other waiting images would cost the serving tasks more
	safetyWeight        = 1.0  // for filling tasks: prefers workers whose serving tasks could bear most more of the image
	packWeight          = 1.0  // packs lasting tasks on few workers, so that others stay free for filling tasks that would slow them
	imageAffinityWeight = 2.0  // groups lasting tasks by image, since the cost of a filling image differs between serving images
	spreadWeight        = 0.2  // spreads the lasting tasks of a step, so that the loss of one worker ends few of them
)

// score rates a worker for a task that may start there. Higher is better.
func (ch *chooser) score(c *candidate) float64 {
	r, step, spec := ch.r, ch.step, ch.step.Spec
	score := c.cpuShareOf(c.unused)
	if c.suspended {
		score -= healthWeight
	}
	if rack := spec.GetRack(); rack != "" && hasLabel(c.GetLabels(), rack) {
		score += localityWeight
	}
	if spec.GetSameRack() && r.rackOf(step) == c.GetRack() {
		score += localityWeight
	}
	switch {
	case spec.GetFilling():
		score += costAdvantageWeight*r.costAdvantage(c, ch.imageNumber) + safetyWeight*r.availableShare(c, ch.imageNumber, ch.expectedLateness)
	case spec.GetLasting():
		score -= 2 * packWeight * c.cpuShareOf(c.unused)
		score += imageAffinityWeight*c.imageAffinity(spec.GetImage()) - spreadWeight*float64(r.countOn(step, c)) - r.headroomLoss(c, ch.imageNumber)
	}
	return score
}

// imageNumber returns the index of a step's image in costs.
func (r *round) imageNumber(step *workflow.Step) int {
	return r.imageNumbers[step.Spec.GetImage()]
}

// rackOf returns the rack of a step's tasks, or an empty string if none is placed.
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
