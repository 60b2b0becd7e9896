package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"daisyswitch/workflow"

	"gotest.tools/v3/assert"
)

// awaitCompleted waits until a workflow is completed, when its last ends are about to be acknowledged.
func (b *testBench) awaitCompleted(id string) {
	for b.state(id) != workflow.StateCompleted {
		time.Sleep(100 * time.Microsecond)
	}
}

// TestEndsAreAcknowledgedUntilTheWorkerForgetsThem guards against ends that are listed for good, since the hold that acknowledged them was lost, and against holds that acknowledge ends which the worker has forgotten.
func TestEndsAreAcknowledgedUntilTheWorkerForgetsThem(t *testing.T) {
	for name, lose := range map[string]func(*fakeWorker){
		"nothing lost":             func(*fakeWorker) {},
		"holds lost":               func(w *fakeWorker) { w.losesHolds = true },
		"answers lost":             func(w *fakeWorker) { w.losesAnswers = true },
		"holds lost, new leader":   func(w *fakeWorker) { w.losesHolds = true },
		"answers lost, new leader": func(w *fakeWorker) { w.losesAnswers = true },
		"nothing lost, new leader": func(*fakeWorker) {},
	} {
		t.Run(name, func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				b.submit("short", "job", short(5))
				b.awaitCompleted("job")
				b.locked(func() { lose(w) })
				time.Sleep(2500 * time.Millisecond)
				b.locked(func() {
					assert.Assert(t, len(w.acknowledgements) > 0, "no hold that acknowledges ends was sent")
					w.losesHolds, w.losesAnswers = false, false
				})
				if strings.Contains(name, "new leader") {
					b.lead(2)
				}
				time.Sleep(2 * time.Second)
				b.locked(func() {
					assert.Equal(t, len(w.ended), 0, "the ends are still listed")
					w.acknowledgements = nil
				})
				time.Sleep(10 * time.Second)
				b.locked(func() {
					assert.Equal(t, len(w.acknowledgements), 0, "%v", w.acknowledgements)
				})
				for i := range 5 {
					assert.Equal(t, b.runCount(fmt.Sprintf("job.0.0.%d", i)), 1)
				}
			})
		})
	}
}

// restartUnderAcknowledgement has a worker restart while a hold is in flight that acknowledges its last ends and is executed by the later incarnation, and checks that what this one has done is not done again.
func restartUnderAcknowledgement(t *testing.T, latestMS int, losesStartAnswers bool) {
	for after := 100; after <= latestMS; after += 100 {
		t.Run(fmt.Sprintf("restart after %d ms", after), func(t *testing.T) {
			runOnBench(t, 1, big, func(b *testBench) {
				w := b.workers["w0"]
				time.Sleep(30 * time.Second)
				b.submit("short", "earlier", short(5))
				b.awaitCompleted("earlier")
				b.locked(func() { w.executesHoldsAfter = 1550 * time.Millisecond })
				time.Sleep(time.Duration(after) * time.Millisecond)
				b.locked(func() {
					w.restart()
					w.executesHoldsAfter = 0
					if losesStartAnswers {
						w.startDelay = time.Millisecond
					}
				})
				b.submit("short", "later", short(2))
				time.Sleep(100 * time.Millisecond)
				b.locked(func() { w.startDelay = 0 })
				time.Sleep(1450 * time.Millisecond)
				w.announce()
				time.Sleep(20 * time.Second)
				assert.Equal(t, b.state("later"), workflow.StateCompleted)
				for i := range 2 {
					assert.Equal(t, b.runCount(fmt.Sprintf("later.0.0.%d", i)), 1, "the task ran again after it was done")
				}
			})
		})
	}
}

// TestHoldThatAcknowledgesEndsForgetsNoneOfALaterIncarnation guards against a second run of a task that was done on a restarted worker, whose end a hold acknowledged that was sent for the last ends of the former incarnation.
func TestHoldThatAcknowledgesEndsForgetsNoneOfALaterIncarnation(t *testing.T) {
	restartUnderAcknowledgement(t, 1000, false)
}

// TestHoldThatAcknowledgesEndsForgetsNoneAfterLostAnswersToStarts guards against the same where the later incarnation's answers to the starts are lost.
func TestHoldThatAcknowledgesEndsForgetsNoneAfterLostAnswersToStarts(t *testing.T) {
	restartUnderAcknowledgement(t, 1000, true)
}

// TestRefusalByALaterIncarnationShowsTheRestart guards against a second run of a task that was done on a restarted worker, where only the refusal of a start that was sent again shows the restart before a late hold acknowledges the end.
func TestRefusalByALaterIncarnationShowsTheRestart(t *testing.T) {
	restartUnderAcknowledgement(t, 700, true)
}
