package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// TestBacklogWithoutRoomIsNotLookedAtAgain guards against rounds whose duration grows with the number of waiting tasks.
func TestBacklogWithoutRoomIsNotLookedAtAgain(t *testing.T) {
	s := newCrowdedSession(t, 490, 200, 0)
	s.placeWaiting()
	before := s.offerLooks.Get()
	for range 10 {
		s.placeWaiting()
	}
	assert.Equal(t, s.offerLooks.Get()-before, uint64(0), "looks at workers on which nothing has changed")
}

// placements returns the placements of a round that is not committed.
func placements(s *session) []string {
	var starts []string
	s.Commit = func(_ context.Context, c *wire.WorkflowCommand) (*workflow.Result, error) {
		for _, start := range c.GetStarts() {
			starts = append(starts, fmt.Sprint(workflow.NameOf(start.GetTask()), start.GetWorker()))
		}
		return nil, errNotCommitted
	}
	s.placeWaiting()
	return starts
}

// withoutCaches returns a session over the same state without cached candidates and shortages.
func withoutCaches(s *session) *session {
	return &session{
		Options: s.Options, counters: s.counters, ctx: s.ctx, links: s.links, runs: s.runs, excluded: s.excluded, lastAtWork: s.lastAtWork, taskDuration: s.taskDuration,
		headrooms: s.headrooms, initialPaces: map[runKey]int{}, allImageNumbers: s.allImageNumbers, candidates: map[string]*candidate{}, shortages: map[shortageKey]*shortage{},
		contests: s.contests, heldBackUntil: s.heldBackUntil,
	}
}

// TestRememberedShortageHidesNoRoom guards against remembered shortages that keep a task waiting after a worker has gained room for it.
func TestRememberedShortageHidesNoRoom(t *testing.T) {
	for seed := range uint64(20) {
		s := newCrowdedSession(t, 30, 12, 0)
		random := rand.New(rand.NewPCG(seed, 1))
		placed := 0
		for range 40 {
			changeRandomly(s, random)
			got := placements(s)
			assert.DeepEqual(t, got, placements(withoutCaches(s)))
			placed += len(got)
		}
		assert.Assert(t, placed > 0, "seed %d: nothing ever had room", seed)
	}
}

// TestLateWorkflowOfWhichNothingRunsGetsOneTaskWithoutHeadroom guards against late workflows that wait until all others have ended, because no worker has headroom for them.
func TestLateWorkflowOfWhichNothingRunsGetsOneTaskWithoutHeadroom(t *testing.T) {
	s := newCrowdedSession(t, 10, 0, 0)
	for _, l := range s.links {
		for _, v := range l.serving {
			v.baseline.Now, v.baseline.RecentMin = 1, 1
		}
	}
	s.taskDuration[workflow.Place{PathPrefix: "/filling/"}] = &taskDuration{mean: time.Second, count: durationWindow}
	step := &wire.Step{Count: 4, Size: &wire.Size{MilliCpu: 1800, MemoryMib: 1000}, Filling: true, Image: "f1"}
	s.Table.Apply(time.Now().Add(-5*time.Second).UnixMilli(), &wire.WorkflowCommand{Submit: &wire.Workflow{Id: "late", Queue: "filling", Steps: []*wire.Step{step}}})
	s.Table.Apply(time.Now().UnixMilli(), &wire.WorkflowCommand{Submit: &wire.Workflow{Id: "new", Queue: "filling", Steps: []*wire.Step{step}}})
	assert.Equal(t, len(placements(s)), 0, "one that can be in time wants the room")
	s.Table.Apply(time.Now().UnixMilli(), &wire.WorkflowCommand{Cancel: "new"})
	starts := placements(s)
	assert.Equal(t, len(starts), 1, "%v", starts)
}

// changeRandomly ends a run, changes the headroom of serving tasks, or changes a worker's suspension.
func changeRandomly(s *session, random *rand.Rand) {
	id := fmt.Sprint("w", random.IntN(30))
	l := s.links[id]
	switch random.IntN(4) {
	case 0:
		for key := range l.runs {
			s.Table.Apply(1, &wire.WorkflowCommand{Ends: []*wire.RunEnd{{Task: key.name.Wire(), Run: key.number, Worker: id, Born: 1, Outcome: wire.RunOutcome_RUN_OUTCOME_DONE}}})
			l.dropRun(key)
			delete(l.serving, key)
			return
		}
	case 1:
		headroom := 1 + 4*random.Float64() // the same for all, since the lowest decides
		for _, v := range l.serving {
			v.baseline.Now, v.baseline.RecentMin = headroom, headroom
		}
		l.offerChanged = true
	case 2:
		l.health.suspended = s.SinceBoot() + 1 - l.health.suspended
	}
}
