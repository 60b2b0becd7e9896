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
		time.Sleep(time.Millisecond)
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
