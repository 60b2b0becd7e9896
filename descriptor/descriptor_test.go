package descriptor_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/descriptor"

	"gotest.tools/v3/assert"
)

// TestSharesKeepEarlierDeploymentsAsTheyAre guards against shares that put workers of the usual deployments behind relays, or that do not reach 3,000 workers with six members.
func TestSharesKeepEarlierDeploymentsAsTheyAre(t *testing.T) {
	s := descriptor.Divide(4096)
	assert.Assert(t, s.DirectWorkers() >= 540, "%d", s.DirectWorkers())
	assert.Assert(t, 6*s.DirectWorkers() >= 3000)
	assert.Assert(t, 4*s.Announcements >= 3000, "two of six members cannot be lost")
	assert.Assert(t, s.Calls+s.Announcements+s.Links <= 4096-200)
	assert.Equal(t, descriptor.Shares{}.DirectWorkers(), 0)
}

// TestConnectionsStayBelowTheLimit guards against more connections than allowed and against a place that is lost for good when a connection fails or is closed twice.
func TestConnectionsStayBelowTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := descriptor.NewLimiter("test", 2, 500*time.Millisecond)
		var idle []net.Conn
		l.Shed = func() {
			for _, c := range idle {
				_ = c.Close()
			}
			idle = nil
		}
		open := func() (net.Conn, error) {
			return l.Open(t.Context(), func() (net.Conn, error) { a, _ := net.Pipe(); return a, nil })
		}
		_, err := l.Open(t.Context(), func() (net.Conn, error) { return nil, context.Canceled })
		assert.ErrorIs(t, err, context.Canceled)
		first, err := open()
		assert.NilError(t, err)
		second, err := open()
		assert.NilError(t, err)
		began := time.Now()
		_, err = open()
		assert.ErrorIs(t, err, descriptor.ErrNoneFree)
		assert.Equal(t, time.Since(began), 500*time.Millisecond)
		idle = append(idle, second)
		third, err := open()
		assert.NilError(t, err)
		assert.NilError(t, third.Close())
		_ = third.Close()
		assert.NilError(t, first.Close())
		assert.Equal(t, l.InUse(), 0)
		assert.Equal(t, l.Sheds(), int64(2))
	})
}
