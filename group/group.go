package group

import (
	"fmt"
	"os"
	"runtime/debug"

	"daisyswitch/event"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"
)

const exitPanicked = 70

// exit is a seam for the test of what a panic does.
var exit = os.Exit

// Group is a conc.WaitGroup whose panics end the process at once, since a process with a dead loop would seem alive until someone waits.
type Group struct {
	conc.WaitGroup
}

// Go runs f in a goroutine that Wait waits for.
func (g *Group) Go(f func()) {
	g.WaitGroup.Go(func() {
		defer endProcess()
		f()
	})
}

func endProcess() {
	cause := recover()
	if cause == nil {
		return
	}
	event.GoroutinePanicked.Error(fmt.Errorf("%v", cause), "stack", string(debug.Stack()))
	klog.Flush()
	fmt.Fprintln(os.Stderr, cause) // the log may not be written any more
	exit(exitPanicked)
}
