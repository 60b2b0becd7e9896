package dispatch

import (
	"sync"

	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// Limits of records of run ends.
const (
	maxEndsPerRecord        = 1000
	maxEndBytesPerRecord    = 1 << 20 // half of the largest record
	maxConcurrentEndRecords = 2       // being committed at once: while one is synced on this and the other replicas, the next is filled
	initialEndCapacity      = 8       // initial capacity of a record: a thousand ends a second come in about a hundred records
)

// endBatch is a record of run ends that is filled while earlier records are being committed.
type endBatch struct {
	ends      []*wire.RunEnd
	bytes     int
	done      chan struct{} // closed once committed is set
	committed bool
}

// endBatcher combines the run ends that workers list at about the same time into one record.
type endBatcher struct {
	mu    sync.Mutex
	open  *endBatch // batch that still accepts ends, nil if none does
	slots chan struct{}
}

func newEndBatcher() *endBatcher {
	return &endBatcher{slots: make(chan struct{}, maxConcurrentEndRecords)}
}

// add adds ends to the open batch. The caller that opens a batch has to commit it.
func (e *endBatcher) add(ends []*wire.RunEnd, bytes int) (b *endBatch, begins bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == nil || len(e.open.ends)+len(ends) > maxEndsPerRecord || e.open.bytes+bytes > maxEndBytesPerRecord {
		e.open = &endBatch{done: make(chan struct{}), ends: make([]*wire.RunEnd, 0, initialEndCapacity)}
		begins = true
	}
	e.open.ends, e.open.bytes = append(e.open.ends, ends...), e.open.bytes+bytes
	return e.open, begins
}

// close stops a batch from accepting more ends.
func (e *endBatcher) close(b *endBatch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == b {
		e.open = nil
	}
}

// commitEnds commits run ends, retrying until they are committed or the leadership ends.
// The ends of one worker have to be committed one call after the other, since a noted end number acknowledges all lower ones.
func (s *session) commitEnds(ends []*wire.RunEnd) bool {
	for len(ends) > 0 {
		count, bytes := 0, 0
		for count < len(ends) && count < maxEndsPerRecord {
			size := proto.Size(ends[count])
			if count > 0 && bytes+size > maxEndBytesPerRecord {
				break
			}
			count, bytes = count+1, bytes+size
		}
		b, begins := s.endBatches.add(ends[:count], bytes)
		if begins {
			s.commitEndBatch(b)
		}
		if <-b.done; !b.committed {
			return false
		}
		ends = ends[count:]
	}
	return true
}

func (s *session) commitEndBatch(b *endBatch) {
	defer close(b.done)
	select {
	case s.endBatches.slots <- struct{}{}:
		defer func() { <-s.endBatches.slots }()
	case <-s.ctx.Done():
	}
	s.endBatches.close(b)
	b.committed = s.commitWithRetry(&wire.WorkflowCommand{Ends: b.ends})
}
