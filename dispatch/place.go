package dispatch

import (
	"maps"
	"sort"
	"time"

	"daisyswitch/event"
	"daisyswitch/resource"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// candidate is a worker with what this round has placed on it so far.
type candidate struct {
	*workflow.Worker
	link      *link
	free      resource.Size
	unused    int64         // thousandths of a core that filling tasks may still use
	passing   resource.Size // of tasks that neither last nor fill, which end by themselves
	suspended bool          // it fails its tasks

	known   bool // whether what follows is worked out
	margins []margin
	shares  map[shareKey]float64 // worked out when first asked for
	harsh   map[int]float64      // by filling image, likewise
	images  map[string]int       // of lasting tasks, with their number; nil until asked for
}

// shareKey names how much of a worker a filling image may take, for the sake of workflows that can still reach something.
type shareKey struct {
	image  int // its number in costs
	chance lateness
}

// round is one look at all that waits.
type round struct {
	s       *session
	t       *workflow.Tables
	nowMS   int64
	costs   costs
	numbers map[string]int // of images in costs
	pools   map[string][]*candidate
	placed  map[*workflow.Step]map[*candidate]int32
	starts  []*wire.RunStart
	racks   map[*workflow.Step]string
	fills   map[int]int // waiting filling tasks by the number of their image
	chance  map[*workflow.Job]lateness
	wanting bool                    // a workflow that can be in time has no room
	failed  map[ask][]resource.Size // sizes for which no worker has room
}

// place decides what starts where and has it committed; it returns false if the record was not.
func (s *session) place() bool {
	if !s.live() {
		return true
	}
	r := &round{s: s, nowMS: s.Wall().UnixMilli(), pools: map[string][]*candidate{}, placed: map[*workflow.Step]map[*candidate]int32{}, racks: map[*workflow.Step]string{}, fills: map[int]int{}, chance: map[*workflow.Job]lateness{}, failed: map[ask][]resource.Size{}}
	began := time.Now()
	s.Table.View(func(t *workflow.Tables) {
		r.t = t
		if len(t.Waiting) == 0 {
			return
		}
		r.number()
		r.gather()
		for _, step := range r.order() {
			r.placeStep(step)
			if len(r.starts) >= maxStarts {
				break
			}
		}
	})
	since(s.round, began)
	s.nextRound = time.Now().Add(max(roundGap, roundShare*time.Since(began)))
	if len(r.starts) == 0 {
		return true
	}
	began = time.Now()
	result, err := s.Commit(s.ctx, &wire.WorkflowCommand{Starts: r.starts})
	since(s.commit, began)
	if err != nil {
		event.RecordNotCommitted.Error(err, "starts", len(r.starts))
		return false
	}
	for i, ok := range result.Starts {
		if !ok {
			event.StartOvertaken.Info("task", workflow.NameOf(r.starts[i].GetTask()).String(), "run", r.starts[i].GetRun(), "worker", r.starts[i].GetWorker())
		}
	}
	return true
}

// number works out the costs of the images of the steps that wait and of what runs.
func (r *round) number() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for step := range r.t.Waiting {
		r.s.imageNumber(step.Spec.GetImage())
	}
	r.costs, r.numbers = r.s.costsNow(), maps.Clone(r.s.images)
}

// gather lists the workers that may get something.
func (r *round) gather() {
	now := r.s.Boot()
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for id, w := range r.t.Workers {
		l := r.s.links[id]
		if l == nil || w.GetLeaving() || r.t.Out[w.GetDomain()] || !l.usable(now) {
			continue
		}
		passing := w.Used.Sub(w.Lasting)
		c := &candidate{Worker: w, link: l, suspended: now < l.health.suspended, free: w.Free(), passing: passing}
		c.unused = w.Capacity.MilliCPU - int64(servingUse*float64(w.Lasting.MilliCPU)) - passing.MilliCPU - w.Fill.MilliCPU + l.spared
		r.pools[w.GetPool()] = append(r.pools[w.GetPool()], c)
	}
	for _, pool := range r.pools {
		sort.Slice(pool, func(i, k int) bool { return pool[i].GetId() < pool[k].GetId() })
	}
}

// use returns how much of a worker's processors a task is expected to use, in thousandths of a core.
func use(s *wire.Step) int64 {
	if s.GetLasting() {
		return int64(servingUse * float64(s.GetSize().GetMilliCpu()))
	}
	return s.GetSize().GetMilliCpu()
}

// serves says whether a step's tasks last and have a tail latency to keep.
func serves(s *wire.Step) bool {
	return s.GetLasting() && s.GetTargetMs() > 0
}

// order returns the steps that may start now, the most urgent first.
func (r *round) order() []*workflow.Step {
	steps := make([]*workflow.Step, 0, len(r.t.Waiting))
	for step := range r.t.Waiting {
		if step.DueMS <= r.nowMS {
			steps = append(steps, step)
		}
		if step.Spec.GetFilling() {
			r.fills[r.image(step)] += step.Waiting
		}
	}
	chance := r.chance
	for _, step := range steps {
		chance[step.Job] = r.late(step)
	}
	sort.Slice(steps, func(i, k int) bool {
		a, b := steps[i], steps[k]
		switch {
		case chance[a.Job] != chance[b.Job]:
			return chance[a.Job] < chance[b.Job]
		case a.Spec.GetLasting() != b.Spec.GetLasting():
			return a.Spec.GetLasting()
		case a.Job.Queue.GetPriority() != b.Job.Queue.GetPriority():
			return a.Job.Queue.GetPriority() < b.Job.Queue.GetPriority()
		case a.Job.AcceptedMS != b.Job.AcceptedMS:
			return a.Job.AcceptedMS < b.Job.AcceptedMS
		case a.Job.Spec.GetId() != b.Job.Spec.GetId():
			return a.Job.Spec.GetId() < b.Job.Spec.GetId()
		default:
			return a.Occurrence < b.Occurrence || a.Occurrence == b.Occurrence && a.Number < b.Number
		}
	})
	return steps
}

// lateFactor is up to how many times its objective a workflow still earns something, as the platform's pages say.
const lateFactor = 3

// lateness is what a workflow can still reach.
type lateness int

const (
	inTime  lateness = iota // it can end within its objective
	late                    // it can end while it still earns something
	useless                 // it can no longer end in any time that counts
)

// String returns the lateness for logs.
func (l lateness) String() string {
	return [...]string{"in time", "late", "useless"}[l]
}

// late says what the workflow of a step can still reach, if what remains takes as long as its queue's tasks do.
func (r *round) late(step *workflow.Step) lateness {
	p := r.s.meanOf(step.Job.Spec.GetQueue())
	if step.Spec.GetLasting() || step.DueMS > 0 || p == 0 {
		return inTime
	}
	steps := step.Job.Spec.GetSteps()
	objective := time.Duration(step.Job.Queue.GetStretch()*float64(p)*float64(len(steps))) + time.Duration(step.Job.Queue.GetLatencyMs())*time.Millisecond
	end := time.Duration(r.nowMS-step.Job.AcceptedMS)*time.Millisecond + p*time.Duration(len(steps)-int(step.Number))
	switch {
	case end <= objective:
		return inTime
	case end <= lateFactor*objective:
		return late
	default:
		return useless
	}
}

func (s *session) meanOf(queue string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pace[queue]; p != nil && p.count >= paceLeast {
		return p.mean
	}
	return 0
}

// placeStep places as many waiting tasks of a step as have room; a gang is placed whole or not at all.
func (r *round) placeStep(step *workflow.Step) {
	if step.Spec.GetGang() {
		r.placeGang(step)
		return
	}
	for _, task := range step.Tasks {
		if !task.Waits() {
			continue
		}
		c, pace := r.choose(task)
		if c == nil && step.Spec.GetLasting() {
			r.reserve(task)
			continue
		}
		if c == nil {
			r.wanting = r.wanting || r.chance[step.Job] == inTime
			return
		}
		r.commit(task, task.Run+1, c, pace)
	}
}

// reserve keeps room for a lasting task on the worker where it will be free soonest, since tasks that end are never more urgent.
func (r *round) reserve(task *workflow.Task) {
	var best *candidate
	most := int64(0)
	size := resource.FromWire(task.Step.Spec.GetSize())
	for _, c := range r.pools[task.Step.Job.Queue.GetPool()] {
		soon := c.free.Add(c.passing)
		if !size.Fits(soon) || !r.suits(task, c) {
			continue
		}
		if best == nil || c.free.MilliCPU > most {
			best, most = c, c.free.MilliCPU
		}
	}
	if best != nil {
		best.free = best.free.Sub(size)
	}
}

// placeGang places all tasks of a gang under one number of run.
func (r *round) placeGang(step *workflow.Step) {
	run := int32(0)
	for _, task := range step.Tasks {
		if !task.Waits() {
			return
		}
		run = max(run, task.Run)
	}
	before := len(r.starts)
	undo := map[*candidate]candidate{}
	for _, task := range step.Tasks {
		c, pace := r.choose(task)
		if c == nil {
			for changed, was := range undo {
				*changed = was
			}
			r.starts = r.starts[:before]
			delete(r.placed, step)
			delete(r.racks, step)
			return
		}
		if _, kept := undo[c]; !kept {
			undo[c] = *c
		}
		r.commit(task, run+1, c, pace)
	}
}

// commit takes room on a candidate for a task that is to work at a pace.
func (r *round) commit(task *workflow.Task, run int32, c *candidate, pace int) {
	step := task.Step
	size := resource.FromWire(step.Spec.GetSize())
	c.unused -= use(step.Spec) * int64(pace) / 100
	if !step.Job.Started {
		r.s.wait.Update(float64(r.nowMS-step.Job.AcceptedMS) / 1000)
	}
	event.TaskPlaced.Info("task", task.Name().String(), "run", run, "worker", c.GetId(), "chance", r.chance[step.Job].String(), "accepted_ms_ago", r.nowMS-step.Job.AcceptedMS,
		"free_milli_cpu", c.free.MilliCPU, "unused_milli_cpu", c.unused, "serving", len(c.margins), "pace", pace)
	if pace < 100 {
		r.s.setFirstPace(runKey{task.Name(), run}, pace)
	}
	if step.Spec.GetLasting() {
		c.lastingImages()[step.Spec.GetImage()]++
	}
	if step.Spec.GetFilling() {
		r.know(c)
		take(c.margins, r.costs, r.image(step), c.shareOf(size.MilliCPU*int64(pace)/100))
		clear(c.shares)
		size.MilliCPU = 0
	}
	c.free = c.free.Sub(size)
	if r.placed[step] == nil {
		r.placed[step] = map[*candidate]int32{}
	}
	r.placed[step][c]++
	if step.Spec.GetSameRack() {
		r.racks[step] = c.GetRack()
	}
	r.starts = append(r.starts, &wire.RunStart{Task: task.Name().Wire(), Run: run, Worker: c.GetId(), Born: c.GetBorn()})
}

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

// stopLeaving stops lasting tasks on workers that are about to leave, so that they are at work elsewhere soon.
func (s *session) stopLeaving() {
	var keys []runKey
	s.Table.View(func(t *workflow.Tables) {
		for _, w := range t.Workers {
			if !w.GetLeaving() {
				continue
			}
			for task := range w.Tasks {
				if task.Step.Spec.GetLasting() {
					keys = append(keys, runKey{task.Name(), task.Run})
				}
			}
		}
	})
	for _, key := range keys {
		s.stopKey(key, "its worker leaves")
	}
}
