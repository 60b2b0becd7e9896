package group

import (
	"fmt"
	"os"
	"runtime/debug"

	"daisyswitch/event"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"
)

const panicExitCode = 70

// exit is replaced in the test of a panic.
var exit = os.Exit

// Group is a conc.WaitGroup in which a panic ends the process at once.
// Otherwise a process whose loop has ended would seem healthy until someone calls Wait.
type Group struct {
	conc.WaitGroup
}

// Go runs f in a goroutine that Wait waits for.
func (g *Group) Go(f func()) {
	g.WaitGroup.Go(func() {
		defer exitOnPanic()
		f()
	})
}

func exitOnPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	event.GoroutinePanicked.Error(fmt.Errorf("%v", cause), "stack", string(debug.Stack()))
	klog.Flush()
	fmt.Fprintln(os.Stderr, cause) // the log may no longer be written
	exit(panicExitCode)
}
