package dispatch

import (
	"math"
	"sort"
	"time"

	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// candidate is a worker that may get something, with what this round has placed on it so far.
// It is kept from round to round, so that only what has changed is worked out anew; the loop alone uses it.
type candidate struct {
	*workflow.Worker
	link      *link
	free      resource.Size
	unused    int64         // thousandths of a core that filling tasks may still use
	passing   resource.Size // of tasks that neither last nor fill, which end by themselves
	suspended bool          // it fails its tasks

	seen    int  // latest round in which it was listed
	changed int  // latest round in which it was listed with something else to offer than before
	altered bool // a round has taken or kept room on it since it was listed

	known     bool // whether what follows is worked out
	margins   []margin
	filling   []imageShare
	shares    [useless + 1][]float64 // how much of the worker a filling image may take, by what its workflow can still reach; below 0 until asked for
	worst     []float64              // most that a serving task here loses beside a filling image on the whole worker, by image
	images    map[string]int         // of lasting tasks, with their number; nil until asked for
	weighedIn int                    // round of meanWorst
	meanWorst float64                // of worst over the filling tasks that wait
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
		c := r.s.candidates[id]
		if c == nil || c.Worker != w || c.link != l {
			c = &candidate{Worker: w, link: l}
			r.s.candidates[id] = c
		}
		c.list(r.number, now)
		r.pools[w.GetPool()] = append(r.pools[w.GetPool()], c)
	}
	for id := range r.s.candidates {
		if r.t.Workers[id] == nil {
			delete(r.s.candidates, id)
		}
	}
	for _, pool := range r.pools {
		sort.Slice(pool, func(i, k int) bool { return pool[i].GetId() < pool[k].GetId() })
	}
}

// list brings a candidate up to date and notes whether anything has changed; the session's mutex is held.
func (c *candidate) list(round int, now time.Duration) {
	passing := c.Used.Sub(c.Lasting)
	free := c.Free()
	unused := c.Capacity.MilliCPU - int64(servingUse*float64(c.Lasting.MilliCPU)) - passing.MilliCPU - c.Fill.MilliCPU + c.link.spared
	suspended := now < c.link.health.suspended
	same := c.seen == round-1 && !c.altered && !c.link.revised && free == c.free && unused == c.unused && suspended == c.suspended
	c.free, c.unused, c.passing, c.suspended = free, unused, passing, suspended
	c.seen, c.altered, c.link.revised = round, false, false
	if !same {
		c.changed, c.known, c.images = round, false, nil
	}
}

// shareOf returns a number of thousandths of a core as a share of the worker.
func (c *candidate) shareOf(milliCPU int64) float64 {
	return float64(milliCPU) / float64(max(1, c.Capacity.MilliCPU))
}

// know works out what the serving tasks of a worker bear.
func (r *round) know(c *candidate) {
	images := len(r.costs)
	if c.known && len(c.worst) == images {
		return
	}
	r.s.mu.Lock()
	c.filling = c.link.filling()
	c.margins = c.link.margins(r.costs, c.filling)
	r.s.mu.Unlock()
	c.known = true
	if len(c.worst) != images {
		all := make([]float64, (len(c.shares)+1)*images)
		for i := range c.shares {
			c.shares[i], all = all[:images], all[images:]
		}
		c.worst = all
	}
	for i := range c.worst {
		c.worst[i] = math.NaN()
	}
	c.weighedIn = 0
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

// worstFor returns the most that a serving task of a worker loses beside a filling image on all of it.
func (r *round) worstFor(c *candidate, image int) float64 {
	r.know(c)
	worst := &c.worst[image]
	if math.IsNaN(*worst) {
		*worst = worstCost(c.margins, r.costs, image)
	}
	return *worst
}

// harshness is by how much more the filling images that wait would hurt a worker's serving tasks than one of them does.
func (r *round) harshness(c *candidate, image int) float64 {
	worst := r.worstFor(c, image)
	if c.weighedIn != r.number {
		total, count := 0.0, 0
		for other, tasks := range r.fills {
			total += float64(tasks) * r.worstFor(c, other)
			count += tasks
		}
		c.meanWorst, c.weighedIn = total/float64(max(1, count)), r.number
	}
	return c.meanWorst - worst
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
