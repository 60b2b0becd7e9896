package control

import (
	"fmt"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/share"
	"daisyswitch/wire"
)

// admissions decides on the workflows of workspaces while this replica leads. A new leader starts with full buckets.
type admissions struct {
	mu        sync.Mutex
	admission *share.Admission
}

func (a *admissions) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission = share.NewAdmission()
}

// admit decides on a new workflow of a workspace, and fills in the reply if it refuses it.
func (c *Control) admit(w *wire.Workflow, weight float64, full bool, reply *wire.WorkflowReply) bool {
	retryAfter, ok := c.admissions.admit(c.sinceBoot(), w, weight, full)
	if ok {
		return true
	}
	reply.Answer = wire.WorkflowAnswer_WORKFLOW_ANSWER_OVER_SHARE
	reply.RetryAfterMs = (retryAfter + time.Millisecond - 1).Milliseconds()
	c.counters.set.GetOrCreateCounter(fmt.Sprintf("daisyswitch_workflows_over_share_total{workspace=%q}", w.GetWorkspace())).Inc()
	event.CallerOverShare.Info("workspace", w.GetWorkspace(), "workflow", w.GetId(), "retry_after_ms", reply.GetRetryAfterMs())
	return false
}

func (a *admissions) admit(now time.Duration, w *wire.Workflow, weight float64, full bool) (retryAfter time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admission == nil {
		return 0, true
	}
	return a.admission.Admit(now, w.GetWorkspace(), weight, w.GetId(), full)
}
