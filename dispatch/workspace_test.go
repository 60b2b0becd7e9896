package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/wire"

	"gotest.tools/v3/assert"
)

// runningFor counts the running tasks of a workspace, whose workflows have its name as their first letter.
func (b *testBench) runningFor(workspace byte) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for name, n := range b.running {
		if name.Workflow[0] == workspace {
			count += n
		}
	}
	return count
}

// TestFullPoolIsSharedByWeight guards against a workspace that gets more of a full pool than its weight because it sends more, or because its steps are larger or come first. The tasks run for different times, and none of the work is late, since late work would go last whatever the shares.
func TestFullPoolIsSharedByWeight(t *testing.T) {
	workspaces := []*wire.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}
	varied := func(count int32, i int) *wire.Step {
		return &wire.Step{Count: count, Size: unit, ExpectedMs: 300 + int64(i)*37%400}
	}
	runOnSharedBench(t, 2, workspaces, func(b *testBench) {
		own, all := 0.0, 0.0
		for i := range 100 {
			b.submitFor("a", "patient", fmt.Sprint("a", i), varied(30, i))
			for k := range 8 {
				b.submitFor("b", "patient", fmt.Sprint("b", i, ".", k), varied(1, 8*i+k))
			}
			time.Sleep(100 * time.Millisecond)
			if i >= 20 {
				own += float64(b.runningFor('b'))
				all += float64(b.runningFor('a') + b.runningFor('b'))
			}
		}
		assert.Assert(t, all/80 >= 26, "%.1f of 32 cores are in use", all/80)
		assert.Assert(t, own/all >= 0.7 && own/all <= 0.8, "a workspace with three quarters of the weight has %.2f of the cores in use", own/all)
	})
}

// TestStepWithinTheShareStartsWhole guards against steps of several workspaces that start in parts, and so all end later, while none of them has its share.
func TestStepWithinTheShareStartsWhole(t *testing.T) {
	workspaces := []*wire.Workspace{{Name: "a", Weight: 1, Priority: 1}, {Name: "b", Weight: 1}, {Name: "c", Weight: 1}}
	runOnSharedBench(t, 2, workspaces, func(b *testBench) {
		b.submitFor("c", "short", "c", &wire.Step{Count: 22, Size: unit, ExpectedMs: 3000})
		time.Sleep(500 * time.Millisecond)
		b.submitFor("a", "short", "a", &wire.Step{Count: 10, Size: unit, ExpectedMs: 1000})
		b.submitFor("b", "short", "b", &wire.Step{Count: 10, Size: unit, ExpectedMs: 1000})
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, b.runningFor('c'), 22)
		assert.Equal(t, b.runningFor('a'), 10)
	})
}

// TestLentCapacityReturnsOnceTasksEnd guards against capacity that stays unused since it is another workspace's share, and against a workspace that must wait longer for its share than the tasks run that have it.
func TestLentCapacityReturnsOnceTasksEnd(t *testing.T) {
	workspaces := []*wire.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}
	runOnSharedBench(t, 2, workspaces, func(b *testBench) {
		for i := range 20 {
			b.submitFor("a", "short", fmt.Sprint("a", i), short(40))
		}
		time.Sleep(2 * time.Second)
		assert.Assert(t, b.runningFor('a') >= 30, "%d of 32 cores are lent", b.runningFor('a'))
		for i := range 10 {
			b.submitFor("b", "short", fmt.Sprint("b", i), short(10))
		}
		most := 0
		for range 70 {
			time.Sleep(10 * time.Millisecond)
			most = max(most, b.runningFor('b'))
		}
		assert.Assert(t, most >= 24-1, "%d of 24 cores have returned, where the other workspace may exceed its share by a task", most)
	})
}

// TestPoolIsFullWhileWorkOnTimeWaits guards against a pool that counts as full while there is room for the workflow in question, and against one that stays full.
func TestPoolIsFullWhileWorkOnTimeWaits(t *testing.T) {
	workflowOf := func(step *wire.Step) *wire.Workflow { return &wire.Workflow{Steps: []*wire.Step{step}} }
	small, large := workflowOf(short(1)), workflowOf(&wire.Step{Count: 1, Size: &wire.Size{MilliCpu: 6000, MemoryMib: 1000}})
	runOnSharedBench(t, 1, []*wire.Workspace{{Name: "a", Weight: 1}}, func(b *testBench) {
		check := func(full, fullForLarge bool) {
			t.Helper()
			assert.Equal(t, b.loop.Load().IsFull(pool, small), full)
			assert.Equal(t, b.loop.Load().IsFull(pool, large), fullForLarge)
		}
		check(false, false)
		b.submitFor("a", "short", "runs", &wire.Step{Count: 11, Size: unit, ExpectedMs: 3000})
		b.submitFor("a", "short", "labelled", &wire.Step{Count: 12, Size: unit, ExpectedMs: 3000, Requires: "none"})
		b.submitFor("a", "short", "spread", &wire.Step{Count: 2, Size: unit, ExpectedMs: 3000, MaxPerWorker: 1})
		time.Sleep(time.Second)
		check(false, false)
		b.submitFor("a", "short", "large", &wire.Step{Count: 1, Size: &wire.Size{MilliCpu: 5000, MemoryMib: 1000}, ExpectedMs: 1000})
		time.Sleep(150 * time.Millisecond)
		check(false, false)
		time.Sleep(250 * time.Millisecond)
		check(false, true)
		b.submitFor("a", "short", "fills", short(8))
		time.Sleep(400 * time.Millisecond)
		check(true, true)
		time.Sleep(4 * time.Second)
		check(false, false)
	})
}
