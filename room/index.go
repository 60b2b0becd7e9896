package room

import "daisyswitch/resource"

// none is the room of a slot without a worker: nothing fits into it.
var none = resource.Size{MilliCPU: -1, MemoryMiB: -1, Accelerators: -1}

// Index holds the free room of workers in numbered slots, as a tree whose inner nodes hold the largest amount of each resource below them.
type Index struct {
	nodes  []resource.Size // heap order, leaves in the second half
	leaves int             // power of two
	used   int             // slots ever given
	spare  []int           // slots given back
}

// New returns an empty index.
func New() *Index {
	x := &Index{}
	x.grow(1)
	return x
}

// Add gives a slot to a worker with this much free room.
func (x *Index) Add(free resource.Size) int {
	slot := x.used
	if n := len(x.spare); n > 0 {
		slot = x.spare[n-1]
		x.spare = x.spare[:n-1]
	} else {
		x.used++
	}
	if slot >= x.leaves {
		x.grow(2 * x.leaves)
	}
	x.Set(slot, free)
	return slot
}

// Set changes the free room of a slot.
func (x *Index) Set(slot int, free resource.Size) {
	i := x.leaves + slot
	x.nodes[i] = free
	for i >>= 1; i > 0; i >>= 1 {
		largest := larger(x.nodes[2*i], x.nodes[2*i+1])
		if largest == x.nodes[i] {
			return
		}
		x.nodes[i] = largest
	}
}

// Remove takes a slot back for another worker.
func (x *Index) Remove(slot int) {
	x.Set(slot, none)
	x.spare = append(x.spare, slot)
}

// Len returns how many slots were ever given, which bounds every slot.
func (x *Index) Len() int {
	return x.used
}

// Next returns the first slot at or after from with room for size, or -1.
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
		nodes[i] = none
	}
	if x.leaves > 0 {
		copy(nodes[leaves:], x.nodes[x.leaves:])
	}
	x.nodes, x.leaves = nodes, leaves
	for i := leaves - 1; i > 0; i-- {
		nodes[i] = larger(nodes[2*i], nodes[2*i+1])
	}
}

func larger(a, b resource.Size) resource.Size {
	return resource.Size{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
