package share

import (
	"cmp"
	"container/heap"
	"math"

	"daisyswitch/resource"
)

// Load returns the use of a workspace relative to its share of a capacity, so that 1 is its share: the largest part of the processors, the memory and the accelerators that it uses, over the part that it is entitled to. A workspace without a share has the highest load, so that it gets only what others leave.
func Load(inUse, capacity resource.Size, share float64) float64 {
	if share <= 0 {
		return math.Inf(1)
	}
	return max(
		ratio(inUse.MilliCPU, capacity.MilliCPU),
		ratio(inUse.MemoryMiB, capacity.MemoryMiB),
		ratio(inUse.Accelerators, capacity.Accelerators),
	) / share
}

func ratio(inUse, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(inUse) / float64(capacity)
}

// Group is the waiting work of a workspace in one pool.
type Group struct {
	Load     float64 // updated by the caller before Placed, as work of the group is placed
	Priority int32   // of the workspace, 0 for the highest; counts only above the share
	items    []int   // waiting work, in its order within the group
	place    int     // in the heap
}

// WithinShare reports whether the workspace uses no more than its share.
func (g *Group) WithinShare() bool {
	return g.Load <= 1
}

// TasksWithinShare returns how many tasks of a load each a group within its share may place before another goes first: all that keep it there, so that its steps need not start in parts, but at least one.
func (g *Group) TasksWithinShare(load float64) int {
	return int(max(1, min(math.MaxInt32, (1-g.Load)/max(load, 1e-9))))
}

// priority returns the priority by which the group is ordered, which is equal for all groups within their shares.
func (g *Group) priority() int32 {
	if g.WithinShare() {
		return 0
	}
	return g.Priority
}

// Order yields the waiting work of groups within their shares first, in the order without workspaces. Then comes the group above its share with the lowest load, among equal ones that with the lower priority number, and then that whose first work comes first. It is work-conserving: each piece is yielded until it is done.
type Order struct {
	groups groupHeap
}

// Add adds a piece of work, by its number in the order without workspaces. Pieces must be added in that order. All pieces are added before the first is yielded.
func (o *Order) Add(g *Group, item int) {
	g.items = append(g.items, item)
	if len(g.items) == 1 {
		heap.Push(&o.groups, g)
	}
}

// Next returns the next piece of work and its group, or false if none is left. The same piece is returned until it is done or another group goes first.
func (o *Order) Next() (item int, g *Group, ok bool) {
	if len(o.groups) == 0 {
		return 0, nil, false
	}
	g = o.groups[0]
	return g.items[0], g, true
}

// Placed restores the order after the load of a group has changed, and takes its first piece out if that is done.
func (o *Order) Placed(g *Group, done bool) {
	if done {
		g.items = g.items[1:]
	}
	if len(g.items) == 0 {
		heap.Remove(&o.groups, g.place)
		return
	}
	heap.Fix(&o.groups, g.place)
}

// groupHeap is a heap of groups with waiting work.
type groupHeap []*Group

func (h groupHeap) Len() int { return len(h) }

func (h groupHeap) Less(i, k int) bool {
	a, b := h[i], h[k]
	return cmp.Or(cmp.Compare(max(1, a.Load), max(1, b.Load)), cmp.Compare(a.priority(), b.priority()), cmp.Compare(a.items[0], b.items[0])) < 0
}

func (h groupHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].place, h[k].place = i, k
}

// Push implements heap.Interface.
func (h *groupHeap) Push(g any) {
	g.(*Group).place = len(*h)
	*h = append(*h, g.(*Group))
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	*h = (*h)[:last]
	return g
}
