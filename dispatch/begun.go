package dispatch

import (
	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// That a workflow has begun is replicated, since a later leader can't tell from a committed start whether its worker ever accepted it.
// It goes with the next record that is committed anyway, or in one of its own at the next check.

// maxBegunPerRecord bounds the workflows that one record marks as begun; their ids have at most 64 bytes each.
const maxBegunPerRecord = 1000

func (s *session) recordBegun(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteBegun(r)
}

// noteBegun notes that the worker of a run has accepted its start or listed it. The caller holds the session's mutex.
func (s *session) noteBegun(r *run) {
	if !r.begun {
		r.begun, r.begunAt = true, s.SinceBoot()
		s.begun[r.name.Workflow] = struct{}{}
	}
}

// takeBegun returns noted workflows whose begin is not in the state yet, and forgets them.
func (s *session) takeBegun() []string {
	var noted, begun []string
	s.mu.Lock()
	for id := range s.begun {
		if len(noted) == maxBegunPerRecord {
			break
		}
		noted = append(noted, id)
		delete(s.begun, id)
	}
	s.mu.Unlock()
	if len(noted) == 0 {
		return nil
	}
	s.Table.View(func(t *workflow.Tables) {
		for _, id := range noted {
			if j := t.Jobs[id]; j != nil && !j.Begun {
				begun = append(begun, id)
			}
		}
	})
	for _, id := range begun {
		event.WorkflowBegun.Info("workflow", id, "term", s.term)
	}
	return begun
}

// returnBegun notes workflows again after their record was not committed.
func (s *session) returnBegun(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.begun[id] = struct{}{}
	}
}

// commitBegun commits noted workflows in a record of their own, without waiting for it.
func (s *session) commitBegun() {
	if begun := s.takeBegun(); len(begun) > 0 {
		s.tasks.Go(func() { s.commitWithRetry(&wire.WorkflowCommand{Begun: begun}) })
	}
}
