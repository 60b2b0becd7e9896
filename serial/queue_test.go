package serial

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRunsInOrderUntilTheEnd checks the order of tasks, and that the fourth does not run after the third has cancelled the context.
func TestRunsInOrderUntilTheEnd(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	q := New()
	var ran []int
	for i := range 4 {
		q.Push(func() {
			ran = append(ran, i)
			if i == 2 {
				stop()
			}
		})
	}
	q.Run(ctx)
	assert.DeepEqual(t, ran, []int{0, 1, 2})
}
