package share_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"daisyswitch/resource"
	"daisyswitch/share"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRoom guards against counting a quota of 0 as none left, and against holding a task up for a resource that it does not need.
func TestRoom(t *testing.T) {
	quota := resource.Size{MilliCPU: 10, MemoryMiB: 100}
	inUse := func(milliCPU, memoryMiB, tasks int64) share.Use {
		return share.Use{Size: resource.Size{MilliCPU: milliCPU, MemoryMiB: memoryMiB, Accelerators: 7}, Tasks: tasks}
	}
	for _, c := range []struct {
		use  share.Use
		size resource.Size
		room int64
	}{
		{inUse(0, 0, 0), resource.Size{MilliCPU: 3}, 3},
		{inUse(4, 50, 1), resource.Size{MilliCPU: 3, MemoryMiB: 20}, 2},
		{inUse(4, 99, 1), resource.Size{MilliCPU: 3, MemoryMiB: 20}, 0},
		{inUse(4, 200, 1), resource.Size{MilliCPU: 3}, 2},
		{inUse(12, 0, 1), resource.Size{MilliCPU: 1}, 0},
		{inUse(0, 0, 0), resource.Size{MilliCPU: 30}, 1},
		{inUse(0, 0, 1), resource.Size{MilliCPU: 30}, 0},
		{inUse(10, 100, 1), resource.Size{Accelerators: 1}, math.MaxInt64},
		{inUse(10, 100, 1), resource.Size{}, math.MaxInt64},
	} {
		assert.Equal(t, share.Room(quota, c.use, c.size), c.room, "beside %v for %v", c.use, c.size)
	}
}

// TestLoadIsTheDominantShare guards against comparing workspaces by one resource only, and against a workspace without weight that goes first.
func TestLoadIsTheDominantShare(t *testing.T) {
	capacity := resource.Size{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 10}
	assert.Equal(t, share.Load(resource.Size{MilliCPU: 500, Accelerators: 1}, capacity, 2), 0.25)
	assert.Equal(t, share.Load(resource.Size{MilliCPU: 100, Accelerators: 5}, capacity, 2), 0.25)
	assert.Equal(t, share.Load(resource.Size{MilliCPU: 100, MemoryMiB: 500}, capacity, 2), 0.25)
	assert.Equal(t, share.Load(resource.Size{Accelerators: 5}, resource.Size{MilliCPU: 1000}, 2), 0.0)
	assert.Assert(t, math.IsInf(share.Load(resource.Size{}, capacity, 0), 1))
}

// TestOrderByShare guards against an order among workspaces that are within their shares, which would let all their steps end later, and against one among the others that depends on anything but load, priority and the order without workspaces.
func TestOrderByShare(t *testing.T) {
	groups := []*share.Group{{Load: 1.5}, {Load: 1.2, Priority: 1}, {Load: 1.2}, {Load: 1.2}, {Load: 0.9, Priority: 2}, {Load: 1}, {}}
	o := &share.Order{}
	for item, g := range []int{0, 1, 3, 2, 4, 5, 4, 6, 0, 3, 4} {
		o.Add(groups[g], item)
	}
	var order []int
	for {
		item, g, ok := o.Next()
		if !ok {
			break
		}
		order = append(order, item)
		switch item {
		case 2:
			g.Load = 1.6
		case 6:
			g.Load = 1.1
		}
		o.Placed(g, true)
	}
	assert.DeepEqual(t, order, []int{4, 5, 6, 7, 10, 2, 3, 1, 0, 8, 9})
}

// step is a waiting step of a workspace, with the tasks that are left of it.
type step struct{ workspace, tasks int }

// pool is a simulated pool of cores in which tasks of one core run for some rounds.
type pool struct {
	cores, chunk int // chunk is the most tasks placed at once above the share
	shares       []float64
	waiting      []step  // in the order without workspaces
	running      [][]int // by workspace, rounds left
	underSince   []int   // by workspace, the round since which it has waited below its share
}

func (p *pool) free() int {
	free := p.cores
	for _, running := range p.running {
		free -= len(running)
	}
	return free
}

func (p *pool) waits(w int) bool {
	return slices.ContainsFunc(p.waiting, func(s step) bool { return s.workspace == w })
}

func (p *pool) load(w int) float64 {
	return share.Load(resource.Size{MilliCPU: int64(len(p.running[w]))}, resource.Size{MilliCPU: int64(p.cores)}, p.shares[w])
}

// round ends tasks and starts waiting ones in the order under test.
func (p *pool) round(duration func() int) {
	for w, running := range p.running {
		for i := range running {
			running[i]--
		}
		p.running[w] = slices.DeleteFunc(running, func(left int) bool { return left <= 0 })
	}
	o, groups := &share.Order{}, map[int]*share.Group{}
	for i, s := range p.waiting {
		if groups[s.workspace] == nil {
			groups[s.workspace] = &share.Group{Load: p.load(s.workspace)}
		}
		o.Add(groups[s.workspace], i)
	}
	for p.free() > 0 {
		i, g, ok := o.Next()
		if !ok {
			break
		}
		s := &p.waiting[i]
		most := p.chunk
		if g.WithinShare() {
			most = g.TasksWithinShare(1 / (float64(p.cores) * p.shares[s.workspace]))
		}
		for range min(most, s.tasks, p.free()) {
			s.tasks--
			p.running[s.workspace] = append(p.running[s.workspace], duration())
		}
		g.Load = p.load(s.workspace)
		o.Placed(g, s.tasks == 0)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(s step) bool { return s.tasks == 0 })
}

// TestSharesOfAFullPool checks under drawn loads that no core stays free while work waits, and that no workspace waits below its share for longer than the longest task runs. A workspace at its share may start one task more before others, so that each other workspace may exceed its own by one task.
func TestSharesOfAFullPool(t *testing.T) {
	const longest = 60    // rounds of 50 ms, for tasks of up to 3 s
	const rounding = 1e-9 // cores: 85 cores times 3/17 are 15 and a little more in floating point
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "workspaces")
		largest := rapid.IntRange(1, 80).Draw(t, "largest step")
		p := &pool{cores: rapid.IntRange(50, 400).Draw(t, "cores"), chunk: rapid.IntRange(1, 8).Draw(t, "chunk"), running: make([][]int, n), underSince: make([]int, n)}
		total, rates := 0.0, make([]int, n)
		for w := range n {
			p.shares = append(p.shares, float64(rapid.IntRange(1, 20).Draw(t, fmt.Sprint("weight", w))))
			total += p.shares[w]
			p.underSince[w] = -1
		}
		for w := range n {
			p.shares[w] /= total
		}
		seed := rapid.IntRange(0, 1<<30).Draw(t, "seed")
		next := func(n int) int {
			seed = (seed*1103515245 + 12345) % (1 << 31)
			return (seed >> 8) % n
		}
		for now := range 600 {
			if now%100 == 0 {
				for w := range n {
					rates[w] = rapid.IntRange(0, 40).Draw(t, "rate")
				}
			}
			for w := range n {
				for left := rates[w] * next(100) / 100; left > 0; {
					s := step{w, min(left, 1+next(largest))}
					p.waiting, left = append(p.waiting, s), left-s.tasks
				}
			}
			p.round(func() int { return 10 + next(longest-10) })
			for w := range n {
				if p.waits(w) && p.free() > 0 {
					t.Fatalf("round %d: %d cores are free while workspace %d waits", now, p.free(), w)
				}
				fair := float64(p.cores) * p.shares[w]
				if !p.waits(w) || float64(len(p.running[w])+n-1) >= fair-rounding {
					p.underSince[w] = now
				}
				if now-p.underSince[w] > longest {
					t.Fatalf("round %d: workspace %d has %d of its %.0f cores, and has waited below them since round %d", now, w, len(p.running[w]), fair, p.underSince[w])
				}
			}
		}
	})
}

// TestFullAfterAWait guards against a pool that counts as full after a moment's wait, or for tasks that are smaller than all that wait.
func TestFullAfterAWait(t *testing.T) {
	size := func(milliCPU, memoryMiB int64) resource.Size {
		return resource.Size{MilliCPU: milliCPU, MemoryMiB: memoryMiB}
	}
	var sizes []resource.Size
	for _, s := range []resource.Size{size(4, 4), size(6, 2), size(5, 5), size(3, 4)} {
		sizes = share.AddWaiting(sizes, s)
	}
	assert.DeepEqual(t, sizes, []resource.Size{size(6, 2), size(3, 4)})
	var none *share.Waits
	assert.Assert(t, !none.Full(time.Second, size(9, 9)))
	w := none.Next(time.Second, sizes)
	assert.Assert(t, !w.Full(1200*time.Millisecond, size(9, 9)))
	w = w.Next(1200*time.Millisecond, sizes)
	for s, full := range map[resource.Size]bool{size(6, 2): true, size(3, 4): true, size(3, 3): false, size(5, 2): false} {
		assert.Equal(t, w.Full(1250*time.Millisecond, s), full, "for %v", s)
	}
}
