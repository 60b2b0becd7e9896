package admit

import (
	"fmt"
	"strings"

	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// Limits on a single workflow, so that one caller cannot exhaust the replicated state.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 1000
	MaxAmount       = 1 << 40           // of each resource, in its unit; sums over all tasks and workers stay within 64 bits
	MaxMS           = 1_000_000_000_000 // of each duration, in milliseconds: thirty years
	maxFirstMS      = 1 << 50           // Unix milliseconds
	maxIDBytes      = 64
	maxBytes        = 1 << 20 // of the whole workflow, half of the largest record
)

// NewWorkflow validates a workflow before it is proposed; nil means that it is valid. It is stricter than Workflow, which replicas apply to records and so must not change between versions.
func NewWorkflow(w *wire.Workflow) error {
	if strings.Contains(w.GetId(), ".") {
		return fmt.Errorf("the id %q contains a dot, which separates the parts of a task's name", w.GetId())
	}
	if size := proto.Size(w); size > maxBytes {
		return fmt.Errorf("the workflow has %d bytes, allowed are %d", size, maxBytes)
	}
	if w.GetIntervalMs() > MaxMS || w.GetFirstMs() > maxFirstMS {
		return fmt.Errorf("the interval is %d ms, allowed are %d, and the first time is %d, allowed are %d", w.GetIntervalMs(), MaxMS, w.GetFirstMs(), int64(maxFirstMS))
	}
	for number, s := range w.GetSteps() {
		size := s.GetSize()
		if largest := max(size.GetMilliCpu(), size.GetMemoryMib(), size.GetAccelerators()); largest > MaxAmount {
			return fmt.Errorf("step %d has a size of %d, allowed are 0 to %d of each resource", number, largest, MaxAmount)
		}
		if longest := max(s.GetTargetMs(), s.GetExpectedMs()); longest > MaxMS {
			return fmt.Errorf("step %d has a time of %d ms, allowed are 0 to %d", number, longest, MaxMS)
		}
	}
	return Workflow(w)
}

// Workflow returns why a workflow is invalid in itself, nil if it is valid.
func Workflow(w *wire.Workflow) error {
	switch {
	case w.GetId() == "" || len(w.GetId()) > maxIDBytes:
		return fmt.Errorf("the id must have 1 to %d bytes", maxIDBytes)
	case len(w.GetPayload()) > MaxPayloadBytes:
		return fmt.Errorf("the payload has %d bytes, allowed are %d", len(w.GetPayload()), MaxPayloadBytes)
	case len(w.GetSteps()) == 0 || len(w.GetSteps()) > MaxSteps:
		return fmt.Errorf("there are %d steps, allowed are 1 to %d", len(w.GetSteps()), MaxSteps)
	case w.GetOccurrences() < 0 || w.GetIntervalMs() < 0 || w.GetFirstMs() < 0:
		return fmt.Errorf("occurrences and their times must not be negative")
	}
	tasks := int64(0)
	for number, s := range w.GetSteps() {
		if err := checkWorkflowStep(number, s); err != nil {
			return err
		}
		tasks += int64(s.GetCount())
	}
	if tasks *= int64(max(1, w.GetOccurrences())); tasks > MaxTasks {
		return fmt.Errorf("there are %d tasks, allowed are %d", tasks, MaxTasks)
	}
	return nil
}

func checkWorkflowStep(number int, s *wire.Step) error {
	size := s.GetSize()
	switch {
	case s.GetCount() <= 0 || s.GetCount() > MaxTasks:
		return fmt.Errorf("step %d has %d tasks", number, s.GetCount())
	case size.GetMilliCpu() < 0 || size.GetMemoryMib() < 0 || size.GetAccelerators() < 0:
		return fmt.Errorf("step %d has a negative size", number)
	case s.GetMaxPerWorker() < 0 || s.GetMayBeAway() < 0 || s.GetTargetMs() < 0 || s.GetExpectedMs() < 0:
		return fmt.Errorf("step %d has a negative limit", number)
	}
	for _, earlier := range s.GetAfter() {
		if earlier < 0 || int(earlier) >= number {
			return fmt.Errorf("step %d comes after step %d, which is not an earlier one", number, earlier)
		}
	}
	return nil
}
