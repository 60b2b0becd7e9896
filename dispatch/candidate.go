package dispatch

import (
	"math"
	"sort"
	"time"

	"daisyswitch/resource"
	"daisyswitch/workflow"
)

// candidate is a worker on which tasks may be placed, including what this round has already placed on it.
// It is kept between rounds so that only what has changed is recomputed. Only the loop's goroutine uses it.
type candidate struct {
	*workflow.Worker
	link      *link
	free      resource.Size
	unused    int64         // thousandths of a core that filling tasks may still use
	shortUse  resource.Size // used by tasks that are neither lasting nor filling, which end by themselves
	suspended bool          // excluded from new work after failures, except for lasting tasks

	listedRound  int           // latest round that updated it
	changedRound int           // latest round in which its offer differed from the previous one
	withheld     withheld      // for a reservation in this round
	kept         resource.Size // room that this round keeps for lasting tasks, already taken from free
	roomTaken    bool          // a round has assigned or reserved room on it since the last update

	derived            bool // whether the fields below are up to date
	margins            []margin
	fillingShares      []imageShare
	availableShares    [useless + 1][]float64 // share of the worker that a filling image may add, by lateness and image; negative until computed
	worstCost          []float64              // highest cost of a filling image to a serving task here, by image; NaN until computed
	lastingCounts      map[string]int         // number of lasting tasks by image; nil until computed
	meanWorstCostRound int                    // round for which meanWorstCost was computed
	meanWorstCost      float64                // mean of worstCost over the waiting filling tasks
}

// gatherCandidates collects the workers on which tasks may be placed.
func (r *round) gatherCandidates() {
	now := r.s.SinceBoot()
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
		c.update(r.number, now)
		r.pools[w.GetPool()] = append(r.pools[w.GetPool()], c)
		r.capacity[w.GetPool()] = r.capacity[w.GetPool()].Add(w.Capacity)
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

// update refreshes a candidate and records whether its offer has changed. The caller holds the session's mutex.
func (c *candidate) update(round int, now time.Duration) {
	shortUse := c.Used.Sub(c.Lasting)
	free := c.Free()
	unused := c.Capacity.MilliCPU - int64(servingUtilization*float64(c.Lasting.MilliCPU)) - shortUse.MilliCPU - c.UsedByFilling.MilliCPU + c.link.sparedMilliCPU
	suspended := now < c.link.health.suspended
	same := c.listedRound == round-1 && !c.roomTaken && !c.link.offerChanged && free == c.free && unused == c.unused && suspended == c.suspended
	c.free, c.unused, c.shortUse, c.suspended, c.kept = free, unused, shortUse, suspended, resource.Size{}
	c.listedRound, c.roomTaken, c.link.offerChanged = round, false, false
	if c.withheld.any {
		c.withheld = withheld{}
	}
	if !same {
		c.changedRound, c.derived, c.lastingCounts = round, false, nil
	}
}

// cpuShareOf returns a number of thousandths of a core as a share of the worker's capacity.
func (c *candidate) cpuShareOf(milliCPU int64) float64 {
	return float64(milliCPU) / float64(max(1, c.Capacity.MilliCPU))
}

// derive recomputes a candidate's cached margins and resets its cached shares and costs.
func (r *round) derive(c *candidate) {
	images := len(r.costs)
	if c.derived && len(c.worstCost) == images {
		return
	}
	r.s.mu.Lock()
	c.fillingShares = c.link.fillingShares()
	c.margins = c.link.margins(r.costs, c.fillingShares)
	r.s.mu.Unlock()
	c.derived = true
	if len(c.worstCost) != images {
		all := make([]float64, (len(c.availableShares)+1)*images)
		for i := range c.availableShares {
			c.availableShares[i], all = all[:images], all[images:]
		}
		c.worstCost = all
	}
	for i := range c.worstCost {
		c.worstCost[i] = math.NaN()
	}
	c.meanWorstCostRound = 0
	c.resetAvailableShares()
}

// resetAvailableShares marks the available shares for recomputation on next use.
func (c *candidate) resetAvailableShares() {
	for _, availableShares := range c.availableShares {
		for i := range availableShares {
			availableShares[i] = -1
		}
	}
}

// availableShare returns the share of the worker that a filling image may add, 0 if none.
func (r *round) availableShare(c *candidate, image int, expected lateness) float64 {
	r.derive(c)
	share := &c.availableShares[expected][image]
	if *share < 0 {
		*share = max(0, maxAddedShare(c.margins, r.costs, image, placementHeadroom[expected]))
	}
	return *share
}

// worstCostOf returns the most headroom that a serving task of a worker loses beside a filling image that takes the whole worker.
func (r *round) worstCostOf(c *candidate, image int) float64 {
	r.derive(c)
	worstCost := &c.worstCost[image]
	if math.IsNaN(*worstCost) {
		*worstCost = maxCost(c.margins, r.costs, image)
	}
	return *worstCost
}

// costAdvantage returns by how much the mean cost of the waiting filling images to a worker's serving tasks exceeds the cost of the given image.
func (r *round) costAdvantage(c *candidate, image int) float64 {
	worst := r.worstCostOf(c, image)
	if c.meanWorstCostRound != r.number {
		total, count := 0.0, 0
		for other, tasks := range r.waitingFilling {
			total += float64(tasks) * r.worstCostOf(c, other)
			count += tasks
		}
		c.meanWorstCost, c.meanWorstCostRound = total/float64(max(1, count)), r.number
	}
	return c.meanWorstCost - worst
}

// lastingByImage counts the lasting tasks of a worker by image.
func (c *candidate) lastingByImage() map[string]int {
	if c.lastingCounts != nil {
		return c.lastingCounts
	}
	c.lastingCounts = map[string]int{}
	for task := range c.Tasks {
		if task.Step.Spec.GetLasting() {
			c.lastingCounts[task.Step.Spec.GetImage()]++
		}
	}
	return c.lastingCounts
}

// imageAffinity grows with the share of a worker's lasting tasks that use an image, and is negative where most use others.
func (c *candidate) imageAffinity(image string) float64 {
	same, other := c.lastingByImage()[image], 0
	for _, count := range c.lastingCounts {
		other += count
	}
	other -= same
	return float64(same-2*other) / float64(max(1, same+other))
}

// headroomLoss returns the headroom that a serving image would lose beside the filling tasks of a worker.
func (r *round) headroomLoss(c *candidate, image int) float64 {
	r.derive(c)
	return headroomLoss(r.costs, c.fillingShares, image)
}
