package dispatch

import (
	"sync"

	"daisyswitch/wire"
)

// Bounds of records of ends.
const (
	maxEnds       = 1000 // in one record; with their checkpoints well below the largest record
	recordsOfEnds = 2    // on their way at once: while one is synced here and at the others, the next gathers
	endsPerRecord = 8    // for which a record has memory at first: a thousand ends a second in some hundred records
)

// endBatch is a record of ends that gathers while earlier ones are on their way.
type endBatch struct {
	ends      []*wire.RunEnd
	done      chan struct{} // closed once committed is known
	committed bool
}

// endRecords gathers the ends that workers list at about the same time into one record.
type endRecords struct {
	mu   sync.Mutex
	next *endBatch // that still gathers, nil if none does
	turn chan struct{}
}

func newEndRecords() *endRecords {
	return &endRecords{turn: make(chan struct{}, recordsOfEnds)}
}

// join adds ends to the batch that gathers; the caller that begins a batch has to commit it.
func (e *endRecords) join(ends []*wire.RunEnd) (b *endBatch, begins bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.next == nil || len(e.next.ends)+len(ends) > maxEnds {
		e.next = &endBatch{done: make(chan struct{}), ends: make([]*wire.RunEnd, 0, endsPerRecord)}
		begins = true
	}
	e.next.ends = append(e.next.ends, ends...)
	return e.next, begins
}

// close ends the gathering of a batch.
func (e *endRecords) close(b *endBatch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.next == b {
		e.next = nil
	}
}

// commitEnds has ends committed, again and again until they are or the leadership ends.
// Whoever commits the ends of one worker waits for them before it commits later ones, since a later number takes note of all before.
func (s *session) commitEnds(ends []*wire.RunEnd) bool {
	b, begins := s.records.join(ends)
	if begins {
		s.commitBatch(b)
	}
	<-b.done
	return b.committed
}

func (s *session) commitBatch(b *endBatch) {
	defer close(b.done)
	select {
	case s.records.turn <- struct{}{}:
		defer func() { <-s.records.turn }()
	case <-s.ctx.Done():
	}
	s.records.close(b)
	b.committed = s.commitSoon(&wire.WorkflowCommand{Ends: b.ends})
}
