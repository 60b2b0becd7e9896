package event

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gate is an output that stands still until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Write(b)
}

// TestStuckOutputBlocksNothing: writing goes on while the output stands still, and what is lost is counted and told.
func TestStuckOutputBlocksNothing(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	s := NewSink(g)
	const lines = 4 * sinkLines
	const held = 2*sinkLines + 1 // those that wait, and those that are being written
	for range lines {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	dropped := s.Dropped()
	assert.Assert(t, dropped >= lines-held)
	close(g.open)
	s.Close()
	assert.Equal(t, uint64(strings.Count(g.out.String(), "line\n"))+dropped, uint64(lines))
	assert.Assert(t, strings.Contains(g.out.String(), "lines_dropped"))
}

// refuser refuses what comes first.
type refuser struct {
	refused bool
	bytes.Buffer
}

func (r *refuser) Write(b []byte) (int, error) {
	if !r.refused {
		r.refused = true
		return 0, errors.New("refused")
	}
	return r.Buffer.Write(b)
}

// TestLossInTheLastBatchIsTold guards against a process that ends without a word on its last lines.
func TestLossInTheLastBatchIsTold(t *testing.T) {
	r := &refuser{}
	s := NewSink(r)
	_, err := s.Write([]byte("line\n"))
	assert.NilError(t, err)
	s.Close()
	assert.Assert(t, strings.Contains(r.String(), "lines_dropped"), r.String())
	assert.Assert(t, strings.Contains(r.String(), "dropped=1"), r.String())
}

// counter counts the calls that an output gets.
type counter struct {
	writes, longest int
	bytes.Buffer
}

func (c *counter) Write(b []byte) (int, error) {
	c.writes++
	c.longest = max(c.longest, len(b))
	return c.Buffer.Write(b)
}

// TestLinesAreWrittenTogether: each write is a call to the kernel, so lines that come at once share one.
func TestLinesAreWrittenTogether(t *testing.T) {
	c := &counter{}
	s := NewSink(c)
	const lines = 1000
	for range lines {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	s.Close()
	assert.Equal(t, strings.Count(c.String(), "line\n"), lines)
	assert.Assert(t, c.writes < lines/10, "%d writes", c.writes)
	assert.Assert(t, c.longest <= sinkBytes, "%d bytes in one write", c.longest)
}

// TestVolumeOfOneEventIsBounded counts what is let through in one second and what is told of the rest in the next.
func TestVolumeOfOneEventIsBounded(t *testing.T) {
	var l limiter
	now := time.Unix(1000, 0)
	written := 0
	for range 3 * perSecond {
		if ok, _ := l.allow(now); ok {
			written++
		}
	}
	assert.Equal(t, written, perSecond)
	ok, omitted := l.allow(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, omitted, int64(2*perSecond))
}
