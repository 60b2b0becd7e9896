package control

import (
	"fmt"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// memory bounds the bytes that accepted workflows take on every replica. What was accepted is in the log, so a restart frees nothing of it.
type memory struct {
	limit int64 // 0 for none
	mu    sync.Mutex
	asked int64 // by submissions that are being committed
}

// reserve adds what a submission takes to what is asked for, unless both exceed the limit together with what is held.
// Otherwise it returns by how many bytes.
func (m *memory) reserve(held, cost int64) (missing int64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if missing = held + m.asked + cost - m.limit; m.limit > 0 && missing > 0 {
		return missing, false
	}
	m.asked += cost
	return 0, true
}

// release takes a submission that has been committed or refused from what is asked for. It may be nil.
func (m *memory) release(w *wire.Workflow) {
	if w == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked -= workflow.Cost(w)
}

// reserveMemory reserves memory for a new workflow, and fills in the reply if there is none.
func (c *Control) reserveMemory(w *wire.Workflow, reply *wire.WorkflowReply) bool {
	cost := workflow.Cost(w)
	if c.memory.limit > 0 && cost > c.memory.limit {
		answerInvalid(reply, fmt.Sprintf("the workflow would take about %d bytes of memory, all workflows together may take %d", cost, c.memory.limit))
		return false
	}
	retryAfterMS, ok := int64(0), false
	c.workflows.View(func(t *workflow.Tables) {
		var missing int64
		if missing, ok = c.memory.reserve(t.Held(), cost); ok {
			return
		}
		if retryAfterMS = t.RoomAfterMS(time.Now().UnixMilli(), missing); retryAfterMS == 0 {
			_, ok = c.memory.reserve(t.Held()-missing, cost) // the record of this submission removes what has been kept long enough
		}
	})
	if ok {
		return true
	}
	reply.Answer, reply.RetryAfterMs = wire.WorkflowAnswer_WORKFLOW_ANSWER_NO_MEMORY, retryAfterMS
	c.counters.withoutMemory.Inc()
	event.WorkflowWithoutMemory.Info("workflow", w.GetId(), "bytes", cost, "retry_after_ms", retryAfterMS)
	return false
}
