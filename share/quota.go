package share

import (
	"math"

	"daisyswitch/resource"
)

// Use is what a number of tasks use together.
type Use struct {
	resource.Size
	Lasting resource.Size // the part that is used by lasting tasks
	Tasks   int64
}

// Plus returns the use with a number of further tasks of one size, which is negative for tasks that are taken away.
func (u Use) Plus(size resource.Size, lasting bool, tasks int64) Use {
	sum := resource.Size{MilliCPU: size.MilliCPU * tasks, MemoryMiB: size.MemoryMiB * tasks, Accelerators: size.Accelerators * tasks}
	u.Size, u.Tasks = u.Add(sum), u.Tasks+tasks
	if lasting {
		u.Lasting = u.Lasting.Add(sum)
	}
	return u
}

// Room returns how many further tasks of one size may start beside the present use of a workspace with a quota. A quota of 0 of a resource is no limit.
// A single task may always run alone, so that a task larger than the quota does not wait forever. A resource that the tasks do not need does not keep them waiting, even if a lowered quota is exceeded.
func Room(quota resource.Size, inUse Use, size resource.Size) int64 {
	room := min(
		roomOf(quota.MilliCPU, inUse.MilliCPU, size.MilliCPU),
		roomOf(quota.MemoryMiB, inUse.MemoryMiB, size.MemoryMiB),
		roomOf(quota.Accelerators, inUse.Accelerators, size.Accelerators),
	)
	if inUse.Tasks == 0 {
		return max(1, room)
	}
	return room
}

func roomOf(quota, inUse, amount int64) int64 {
	if quota <= 0 || amount <= 0 {
		return math.MaxInt64
	}
	return max(0, quota-inUse) / amount
}
