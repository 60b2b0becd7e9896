package share

import (
	"cmp"
	"container/heap"
	"math"

	"daisyswitch/resource"
)

// Load returns the use of a workspace relative to its share of a capacity: the largest of its shares of the processors, the memory and the accelerators, over its weight. A workspace without weight has the highest load, so that it gets only what others leave.
func Load(inUse, capacity resource.Size, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	return max(
		ratio(inUse.MilliCPU, capacity.MilliCPU),
		ratio(inUse.MemoryMiB, capacity.MemoryMiB),
		ratio(inUse.Accelerators, capacity.Accelerators),
	) / weight
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
	Priority int32   // of the workspace; 0 goes first
	items    []int   // waiting work, in its order within the group
	place    int     // in the heap
}

// Order yields waiting work so that the group with the lowest load goes first, then the one with the lower priority number, and then the one whose first work comes first. It is work-conserving: each piece is yielded until it is done.
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

// Next returns the next piece of work and its group, or false if none is left. The same piece is returned until it is done or the load of its group has risen above that of another.
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
	return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.items[0], b.items[0])) < 0
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
