package group

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPanicEndsTheProcess checks that a panic in a goroutine ends the process although nobody calls Wait.
func TestPanicEndsTheProcess(t *testing.T) {
	codes := make(chan int, 1)
	exit = func(code int) { codes <- code }
	var g Group
	g.Go(func() { panic("nil dialer") })
	assert.Equal(t, <-codes, panicExitCode)
	g.Wait()
}
