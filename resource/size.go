package resource

import "daisyswitch/wire"

// Size is an amount of each resource of a worker.
type Size struct {
	MilliCPU     int64 `json:"milli_cpu"`    // thousandths of a core
	MemoryMiB    int64 `json:"memory_mib"`   // mebibytes
	Accelerators int64 `json:"accelerators"` // whole devices
}

// Add returns the sum of s and t.
func (s Size) Add(t Size) Size {
	return Size{s.MilliCPU + t.MilliCPU, s.MemoryMiB + t.MemoryMiB, s.Accelerators + t.Accelerators}
}

// Sub returns s less t; a result below zero is kept, so that an overcommitment shows.
func (s Size) Sub(t Size) Size {
	return Size{s.MilliCPU - t.MilliCPU, s.MemoryMiB - t.MemoryMiB, s.Accelerators - t.Accelerators}
}

// Fits reports whether s fits into room in every resource.
func (s Size) Fits(room Size) bool {
	return s.MilliCPU <= room.MilliCPU && s.MemoryMiB <= room.MemoryMiB && s.Accelerators <= room.Accelerators
}

// Valid reports whether no amount is negative and at least one is above zero.
func (s Size) Valid() bool {
	if s.MilliCPU < 0 || s.MemoryMiB < 0 || s.Accelerators < 0 {
		return false
	}
	return s != Size{}
}

// FromWire converts the message form, taking nil as nothing.
func FromWire(m *wire.Size) Size {
	return Size{m.GetMilliCpu(), m.GetMemoryMib(), m.GetAccelerators()}
}

// Wire returns the message form of s.
func (s Size) Wire() *wire.Size {
	return &wire.Size{MilliCpu: s.MilliCPU, MemoryMib: s.MemoryMiB, Accelerators: s.Accelerators}
}
