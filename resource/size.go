package resource

import "daisyswitch/wire"

// Size is an amount of each resource: processors, memory and accelerators.
type Size struct {
	MilliCPU     int64 `json:"milli_cpu"`    // thousandths of a core
	MemoryMiB    int64 `json:"memory_mib"`   // mebibytes
	Accelerators int64 `json:"accelerators"` // whole devices
}

// Add returns the sum of s and t.
func (s Size) Add(t Size) Size {
	return Size{s.MilliCPU + t.MilliCPU, s.MemoryMiB + t.MemoryMiB, s.Accelerators + t.Accelerators}
}

// Sub returns s minus t. Amounts may become negative, so that overcommitment stays visible.
func (s Size) Sub(t Size) Size {
	return Size{s.MilliCPU - t.MilliCPU, s.MemoryMiB - t.MemoryMiB, s.Accelerators - t.Accelerators}
}

// Max returns the larger of the two sizes in each dimension.
func (s Size) Max(t Size) Size {
	return Size{max(s.MilliCPU, t.MilliCPU), max(s.MemoryMiB, t.MemoryMiB), max(s.Accelerators, t.Accelerators)}
}

// Fits reports whether s is at most room in every resource.
func (s Size) Fits(room Size) bool {
	return s.MilliCPU <= room.MilliCPU && s.MemoryMiB <= room.MemoryMiB && s.Accelerators <= room.Accelerators
}

// Valid reports whether no amount is negative and at least one is positive.
func (s Size) Valid() bool {
	if s.MilliCPU < 0 || s.MemoryMiB < 0 || s.Accelerators < 0 {
		return false
	}
	return s != Size{}
}

// FromWire converts a size from its wire message; nil gives the zero size.
func FromWire(m *wire.Size) Size {
	return Size{m.GetMilliCpu(), m.GetMemoryMib(), m.GetAccelerators()}
}

// Wire returns s as a wire message.
func (s Size) Wire() *wire.Size {
	return &wire.Size{MilliCpu: s.MilliCPU, MemoryMib: s.MemoryMiB, Accelerators: s.Accelerators}
}
