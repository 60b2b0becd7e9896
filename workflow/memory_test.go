package workflow_test

import (
	"runtime"
	"testing"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// heldBy returns the bytes of heap that workflows take, handed in one after the other.
func heldBy(t *testing.T, build func(n int) *wire.Workflow, count int) uint64 {
	s := newTable()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range count {
		w := build(n)
		w.Host, w.PathPrefix = "h", "/q/"
		result := s.Apply(2, &wire.WorkflowCommand{ByPlace: true, Submit: w})
		assert.Equal(t, result.Answer, accepted, result.Reason)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	s.View(func(v *workflow.Tables) { assert.Equal(t, len(v.Jobs), count) })
	return after.HeapAlloc - before.HeapAlloc
}

// chained returns a timed workflow whose steps each come after all earlier ones.
func chained(steps, occurrences int32) *wire.Workflow {
	w := &wire.Workflow{Occurrences: occurrences, FirstMs: 1 << 40, IntervalMs: 1000}
	var earlier []int32
	for number := range steps {
		w.Steps = append(w.Steps, &wire.Step{Count: 1, Size: taskSize, After: append([]int32(nil), earlier...)})
		earlier = append(earlier, number)
	}
	return w
}

// TestOrderOfStepsIsHeldOnceForAllOccurrences guards against a workflow of legal size that takes 45 MB on every replica, for the references between the steps of each occurrence.
func TestOrderOfStepsIsHeldOnceForAllOccurrences(t *testing.T) {
	held := heldBy(t, func(int) *wire.Workflow {
		w := chained(340, 58)
		w.Id = "a"
		return w
	}, 1)
	t.Logf("%d bytes", held)
	assert.Assert(t, held < 10<<20)
}
