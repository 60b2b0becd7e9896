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

// TestProcessThatFailsEnds: a replica whose disk has failed takes part again only after a restart.
func TestProcessThatFailsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := time.Now().Add(time.Minute)
		p := &process{ready: func() error { return nil }, live: func() error {
			if time.Now().Before(broken) {
				return nil
			}
			return errDisk
		}}
		_, err := awaitEnd(make(chan os.Signal), p, "member-1")
		assert.ErrorIs(t, err, errDisk)
		assert.Assert(t, time.Since(broken) <= liveLook)
	})
}

// TestProcessThatIsSoundEndsBySignal: also before it is ready.
func TestProcessThatIsSoundEndsBySignal(t *testing.T) {
	for _, ready := range []error{nil, errDisk} {
		signals := make(chan os.Signal, 1)
		time.AfterFunc(2*liveLook, func() { signals <- syscall.SIGTERM })
		received, err := awaitEnd(signals, &process{ready: func() error { return ready }}, "gateway-1")
		assert.NilError(t, err)
		assert.Equal(t, received, os.Signal(syscall.SIGTERM))
	}
}
