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

// blockedWriter is an output that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (g *blockedWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Write(b)
}

// TestStuckOutputBlocksNothing checks that Write does not block while the output is stalled, and that lost lines are counted and reported.
func TestStuckOutputBlocksNothing(t *testing.T) {
	g := &blockedWriter{open: make(chan struct{})}
	s := NewSink(g)
	const lines = 4 * queueLines
	const held = 2*queueLines + 1 // lines in the queue, and lines that are being written
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

// failingOnceWriter fails the first write.
type failingOnceWriter struct {
	refused bool
	bytes.Buffer
}

func (r *failingOnceWriter) Write(b []byte) (int, error) {
	if !r.refused {
		r.refused = true
		return 0, errors.New("refused")
	}
	return r.Buffer.Write(b)
}

// TestLossInTheLastBatchIsTold guards against a process that exits without reporting lines lost in its last batch.
func TestLossInTheLastBatchIsTold(t *testing.T) {
	r := &failingOnceWriter{}
	s := NewSink(r)
	_, err := s.Write([]byte("line\n"))
	assert.NilError(t, err)
	s.Close()
	assert.Assert(t, strings.Contains(r.String(), "lines_dropped"), r.String())
	assert.Assert(t, strings.Contains(r.String(), "dropped=1"), r.String())
}

// countingWriter counts the writes to an output.
type countingWriter struct {
	writes, longest int
	bytes.Buffer
}

func (c *countingWriter) Write(b []byte) (int, error) {
	c.writes++
	c.longest = max(c.longest, len(b))
	return c.Buffer.Write(b)
}

// TestLinesAreWrittenTogether checks that lines written at once share a write, since each write is a system call.
func TestLinesAreWrittenTogether(t *testing.T) {
	c := &countingWriter{}
	s := NewSink(c)
	const lines = 1000
	for range lines {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	s.Close()
	assert.Equal(t, strings.Count(c.String(), "line\n"), lines)
	assert.Assert(t, c.writes < lines/10, "%d writes", c.writes)
	assert.Assert(t, c.longest <= maxWriteBytes, "%d bytes in one write", c.longest)
}

// TestVolumeOfOneEventIsBounded checks how many lines pass in one second, and that the omitted ones are reported in the next.
func TestVolumeOfOneEventIsBounded(t *testing.T) {
	var l limiter
	now := time.Unix(1000, 0)
	written := 0
	for range 3 * maxLinesPerSecond {
		if ok, _ := l.allow(now); ok {
			written++
		}
	}
	assert.Equal(t, written, maxLinesPerSecond)
	ok, omitted := l.allow(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, omitted, int64(2*maxLinesPerSecond))
}
