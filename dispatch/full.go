package dispatch

import (
	"time"

	"daisyswitch/event"
	"daisyswitch/resource"
	"daisyswitch/share"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// IsFull reports whether a pool has no room for a workflow's tasks: work that is on time and needs no more has waited for room in the latest rounds. Filling tasks need none. It reports false on a replica that does not lead.
func (l *Loop) IsFull(pool string, w *wire.Workflow) bool {
	s := l.session.Load()
	if s == nil {
		return false
	}
	waits := s.waits.Load()
	if waits == nil || (*waits)[pool] == nil {
		return false
	}
	now := l.options.SinceBoot()
	for _, step := range w.GetSteps() {
		if !step.GetFilling() && (*waits)[pool].Full(now, resource.FromWire(step.GetSize())) {
			return true
		}
	}
	return false
}

// noteWaiting notes that a step that is on time found no room. Steps that wait for more than room, as those with a label, say nothing of the pool.
func (r *round) noteWaiting(step *workflow.Step) {
	if len(r.t.Queues.GetWorkspaces()) == 0 {
		return
	}
	if s := step.Spec; s.GetFilling() || s.GetLasting() || s.GetGang() || s.GetRequires() != "" || s.GetMaxPerWorker() > 0 || !r.couldEverFit(step) {
		return
	}
	if r.waiting == nil {
		r.waiting = map[string][]resource.Size{}
	}
	pool := step.Job.Queue.GetPool()
	r.waiting[pool] = share.AddWaiting(r.waiting[pool], resource.FromWire(step.Spec.GetSize()))
}

// publishWaits makes what waits for room after a round known to those who accept workflows.
func (s *session) publishWaits(waiting map[string][]resource.Size) {
	last, next, now := s.waits.Load(), map[string]*share.Waits{}, s.SinceBoot()
	if last == nil {
		last = &next
	}
	for pool, sizes := range waiting {
		next[pool] = (*last)[pool].Next(now, sizes)
	}
	s.waits.Store(&next)
	s.logFull(now)
}

// logFull logs when a pool becomes full and when it has room again.
func (s *session) logFull(now time.Duration) {
	waits := *s.waits.Load()
	for pool := range s.fullPools {
		if waits[pool] == nil {
			delete(s.fullPools, pool)
			event.PoolHasRoom.Info("pool", pool)
		}
	}
	for pool, w := range waits {
		if !s.fullPools[pool] && w.Lasts(now) {
			if s.fullPools == nil {
				s.fullPools = map[string]bool{}
			}
			s.fullPools[pool] = true
			event.PoolFull.Info("pool", pool)
		}
	}
}
