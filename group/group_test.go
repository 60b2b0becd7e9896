package group

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPanicEndsTheProcess has a loop die while nobody waits for it.
func TestPanicEndsTheProcess(t *testing.T) {
	codes := make(chan int, 1)
	exit = func(code int) { codes <- code }
	var g Group
	g.Go(func() { panic("nil dialer") })
	assert.Equal(t, <-codes, exitPanicked)
	g.Wait()
}
