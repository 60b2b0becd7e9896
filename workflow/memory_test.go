package workflow_test

import (
	"fmt"
	"runtime"
	"testing"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// heldBy returns the bytes of heap that workflows take, handed in one after the other.
func heldBy(t *testing.T, build func(n int) *wire.Workflow, count int) int64 {
	s := newTable()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what the first one finalized
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
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
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

// TestCostCoversWhatWorkflowsHold guards against a bound on accepted workflows that lets them take more memory than it says, or refuses them though they take far less.
func TestCostCoversWhatWorkflowsHold(t *testing.T) {
	for name, build := range map[string]func() *wire.Workflow{
		"small":   func() *wire.Workflow { return &wire.Workflow{Steps: []*wire.Step{{Count: 1, Size: taskSize}}} },
		"tasks":   func() *wire.Workflow { return &wire.Workflow{Steps: []*wire.Step{{Count: 2000, Size: taskSize}}} },
		"ordered": func() *wire.Workflow { return chained(340, 1) },
		"timed":   func() *wire.Workflow { return chained(20, 900) },
		"named twice": func() *wire.Workflow {
			return &wire.Workflow{Steps: []*wire.Step{{Count: 1, Size: taskSize}, {Count: 1, Size: taskSize, After: make([]int32, 100_000)}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			count := 20
			if name == "small" {
				count = 5000
			}
			cost := int64(0)
			held := heldBy(t, func(n int) *wire.Workflow {
				w := build()
				w.Id = fmt.Sprint(n)
				cost += workflow.Cost(w)
				return w
			}, count)
			t.Logf("%d bytes held, %d by the estimate", held, cost)
			assert.Assert(t, held <= cost*5/4)
			assert.Assert(t, cost <= 4*held)
		})
	}
}

// TestHeldMemoryIsThatOfTheJobs guards against an account that grows or shrinks with what is handed in again, refused or restored, and against a time to return at which there is no room yet.
func TestHeldMemoryIsThatOfTheJobs(t *testing.T) {
	const retention = 150_000
	s := newTable()
	held := func(s *workflow.Table) (held int64) {
		s.View(func(v *workflow.Tables) { held = v.Held() })
		return held
	}
	roomAfter := func(nowMS, bytes int64) (ms int64) {
		s.View(func(v *workflow.Tables) { ms = v.RoomAfterMS(nowMS, bytes) })
		return ms
	}
	submitted := func(nowMS int64, id string) {
		s.Apply(nowMS, &wire.WorkflowCommand{ByPlace: true, Submit: &wire.Workflow{Id: id, Host: "h", PathPrefix: "/q/", Steps: []*wire.Step{{Count: 5, Size: taskSize}}}})
	}
	submitted(10, "a")
	one := held(s)
	assert.Assert(t, one > 0)
	submitted(11, "a")
	s.Apply(11, &wire.WorkflowCommand{ByPlace: true, Submit: &wire.Workflow{Id: "refused", Host: "h", PathPrefix: "/q/"}})
	submitted(12, "b")
	assert.Equal(t, held(s), 2*one)
	assert.Equal(t, held(restarted(t, s)), 2*one)
	assert.Equal(t, roomAfter(20, 1), int64(retention), "nothing has ended")
	s.Apply(100, &wire.WorkflowCommand{ByPlace: true, Cancel: "a"})
	s.Apply(200, &wire.WorkflowCommand{ByPlace: true, Cancel: "b"})
	assert.Equal(t, roomAfter(300, one), int64(retention+101-300))
	assert.Equal(t, roomAfter(300, one+1), int64(retention+201-300))
	assert.Equal(t, roomAfter(retention+101, one), int64(0))
	submitted(retention+101, "c")
	assert.Equal(t, held(s), 2*one, "the first was removed as the third was accepted")
}
