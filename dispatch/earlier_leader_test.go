package dispatch_test

import (
	"testing"
	"time"

	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// TestLateStartOfAnEarlierLeaderIsWaitedForAsItsWorkerRestarts guards against a second run where a worker restarts and is announced to a new leader, never answers it and executes a start of the former leader late.
func TestLateStartOfAnEarlierLeaderIsWaitedForAsItsWorkerRestarts(t *testing.T) {
	for _, former := range []struct {
		name    string
		wait    time.Duration // from the submission until the leader changes; the start is sent again after 650 ms
		answers bool          // whether the former incarnation answers the new leader
	}{
		{"former_silent", 100 * time.Millisecond, false},
		{"former_answers", 100 * time.Millisecond, true},
		{"second_try_accepted", time.Second, true},
	} {
		t.Run(former.name, func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(30 * time.Second)
				b.locked(func() { w.startDelay = 6 * time.Second })
				b.submit("lasting", "job", &wire.Step{Count: 4, Size: unit, Lasting: true})
				time.Sleep(100 * time.Millisecond)
				b.locked(func() { w.startDelay, w.losesHolds = 0, !former.answers })
				time.Sleep(former.wait - 100*time.Millisecond)
				b.lead(2)
				time.Sleep(20 * time.Millisecond)
				b.locked(func() { w.restart(); w.losesHolds, w.losesStops = true, true })
				w.announce()
				b.addWorker("w1", big)
				time.Sleep(30 * time.Second)
				assert.Equal(t, b.runningOf("job"), 4)
			})
		})
	}
}

// TestStartOfAnEarlierLeaderInFlightOutlastsTheFormersAnswer guards against a second run where a worker answers a new leader, restarts without an announcement and executes a start of the former leader within its time limit.
func TestStartOfAnEarlierLeaderInFlightOutlastsTheFormersAnswer(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		t.Run(map[bool]string{true: "withdrawn", false: "accepted"}[leaving], func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(30 * time.Second)
				b.locked(func() { w.startDelay = 420 * time.Millisecond })
				b.submit("lasting", "job", &wire.Step{Count: 4, Size: unit, Lasting: true})
				time.Sleep(180 * time.Millisecond)
				b.locked(func() { w.startDelay, w.losesStops = 0, true })
				record := proto.CloneOf(w.record)
				record.Leaving = leaving
				b.apply(&wire.WorkflowCommand{Workers: []*wire.CalledWorker{record}})
				b.lead(2)
				time.Sleep(200 * time.Millisecond)
				b.locked(func() { w.restart(); w.losesHolds = true })
				b.addWorker("w1", big)
				time.Sleep(20 * time.Second)
				assert.Equal(t, b.runningOf("job"), 4)
			})
		})
	}
}

// TestLateHoldProlongsNoLeaseOfAnUnannouncedIncarnation guards against a second run where a hold that is executed more than its time limit late prolongs the lease of a restarted worker, which is neither announced nor answers.
func TestLateHoldProlongsNoLeaseOfAnUnannouncedIncarnation(t *testing.T) {
	runOnBench(t, 1, big, func(b *testBench) {
		w := b.workers["w0"]
		time.Sleep(30 * time.Second)
		b.locked(func() { w.startDelay, w.executesHoldsAfter = 100*time.Millisecond, 4*time.Second })
		w.awaitHold()
		b.submit("lasting", "job", &wire.Step{Count: 4, Size: unit, Lasting: true})
		time.Sleep(40 * time.Millisecond)
		b.locked(func() {
			w.restart()
			w.startDelay, w.executesHoldsAfter, w.losesHolds, w.losesStarts = 0, 0, true, true
		})
		b.addWorker("w1", big)
		time.Sleep(30 * time.Second)
		assert.Equal(t, b.runningOf("job"), 4)
	})
}
