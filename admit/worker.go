package admit

import (
	"errors"
	"fmt"

	"daisyswitch/configuration"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// MaxIncarnationBytes is the longest incarnation, which identifies one start of a worker process.
const MaxIncarnationBytes = 128

// Worker returns why an announcement is invalid, nil if it is valid.
func Worker(r *wire.WorkerRecord) error {
	if err := configuration.CheckName(r.GetName()); err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	if err := configuration.CheckName(r.Domain); err != nil {
		return fmt.Errorf("worker %s: domain: %w", r.Name, err)
	}
	if r.Rack != "" {
		if err := configuration.CheckName(r.Rack); err != nil {
			return fmt.Errorf("worker %s: rack: %w", r.Name, err)
		}
	}
	if r.Incarnation == "" || len(r.Incarnation) > MaxIncarnationBytes {
		return fmt.Errorf("worker %s: the incarnation has 1 to %d bytes", r.Name, MaxIncarnationBytes)
	}
	if !resource.FromWire(r.Capacity).Valid() {
		return errors.New("the capacity is empty or below zero")
	}
	return nil
}

// Record returns a worker's record with its effective capacity, and with what it offers if that is less.
func Record(r *wire.WorkerRecord, capacity, offered resource.Size) *wire.WorkerRecord {
	next := &wire.WorkerRecord{
		Name: r.Name, Domain: r.Domain, Rack: r.Rack, Incarnation: r.Incarnation, Capacity: capacity.Wire(),
	}
	if capacity != offered {
		next.Offered = offered.Wire()
	}
	return next
}

// MaxSize returns the larger amount of each resource.
func MaxSize(a, b resource.Size) resource.Size {
	return resource.Size{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
