package room

import "daisyswitch/resource"

// noRoom is the free capacity of a slot without a worker: no task fits into it.
var noRoom = resource.Size{MilliCPU: -1, MemoryMiB: -1, Accelerators: -1}

// Index holds the free capacity of workers in numbered slots. It is a tree whose inner nodes hold the maximum of each resource below them.
type Index struct {
	nodes     []resource.Size // heap order, leaves in the second half
	leaves    int             // power of two
	allocated int             // number of slots ever allocated
	freeSlots []int           // slots released by Remove
}

// New returns an empty index.
func New() *Index {
	x := &Index{}
	x.grow(1)
	return x
}

// Add allocates a slot for a worker with this free capacity.
func (x *Index) Add(free resource.Size) int {
	slot := x.allocated
	if n := len(x.freeSlots); n > 0 {
		slot = x.freeSlots[n-1]
		x.freeSlots = x.freeSlots[:n-1]
	} else {
		x.allocated++
	}
	if slot >= x.leaves {
		x.grow(2 * x.leaves)
	}
	x.Set(slot, free)
	return slot
}

// Set sets the free capacity of a slot.
func (x *Index) Set(slot int, free resource.Size) {
	i := x.leaves + slot
	x.nodes[i] = free
	for i >>= 1; i > 0; i >>= 1 {
		largest := elementwiseMax(x.nodes[2*i], x.nodes[2*i+1])
		if largest == x.nodes[i] {
			return
		}
		x.nodes[i] = largest
	}
}

// Remove releases a slot for reuse by another worker.
func (x *Index) Remove(slot int) {
	x.Set(slot, noRoom)
	x.freeSlots = append(x.freeSlots, slot)
}

// Len returns the number of slots ever allocated; every slot is below it.
func (x *Index) Len() int {
	return x.allocated
}

// Next returns the first slot at or after from with free capacity for size, or -1.
func (x *Index) Next(size resource.Size, from int) int {
	return x.next(size, from, 1, 0, x.leaves)
}

func (x *Index) next(size resource.Size, from, node, low, high int) int {
	if high <= from || !size.Fits(x.nodes[node]) {
		return -1
	}
	if node >= x.leaves {
		return low
	}
	middle := (low + high) / 2
	if slot := x.next(size, from, 2*node, low, middle); slot >= 0 {
		return slot
	}
	return x.next(size, from, 2*node+1, middle, high)
}

func (x *Index) grow(leaves int) {
	nodes := make([]resource.Size, 2*leaves)
	for i := range nodes {
		nodes[i] = noRoom
	}
	if x.leaves > 0 {
		copy(nodes[leaves:], x.nodes[x.leaves:])
	}
	x.nodes, x.leaves = nodes, leaves
	for i := leaves - 1; i > 0; i-- {
		nodes[i] = elementwiseMax(nodes[2*i], nodes[2*i+1])
	}
}

func elementwiseMax(a, b resource.Size) resource.Size {
	return resource.Size{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
