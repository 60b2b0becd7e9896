package command

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var errDisk = errors.New("no space left on device")

// TestProcessThatFailsEnds checks that a process exits soon after its liveness check fails: a replica whose disk has failed rejoins its group only after a restart.
func TestProcessThatFailsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failsAt := time.Now().Add(time.Minute)
		p := &process{ready: func() error { return nil }, live: func() error {
			if time.Now().Before(failsAt) {
				return nil
			}
			return errDisk
		}}
		_, err := waitForStop(make(chan os.Signal), p, "member-1")
		assert.ErrorIs(t, err, errDisk)
		assert.Assert(t, time.Since(failsAt) <= liveInterval)
	})
}

// TestLiveProcessEndsOnSignal checks that a live process exits on a signal, whether it is ready or not.
func TestLiveProcessEndsOnSignal(t *testing.T) {
	for _, ready := range []error{nil, errDisk} {
		signals := make(chan os.Signal, 1)
		time.AfterFunc(2*liveInterval, func() { signals <- syscall.SIGTERM })
		received, err := waitForStop(signals, &process{ready: func() error { return ready }}, "gateway-1")
		assert.NilError(t, err)
		assert.Equal(t, received, os.Signal(syscall.SIGTERM))
	}
}
