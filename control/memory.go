package control

import (
	"fmt"
	"sync"
	"time"

	"daisyswitch/event"
	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// memory bounds the bytes that accepted workflows take on every replica. They are in the log, so a restart would not free them.
type memory struct {
	limit    int64 // 0 for none
	mu       sync.Mutex
	reserved int64 // for submissions that are being committed
}

// reserve reserves memory for a submission. If that would exceed the limit beside the memory that is held and reserved, it returns by how many bytes.
func (m *memory) reserve(held, cost int64) (missing int64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if missing = held + m.reserved + cost - m.limit; m.limit > 0 && missing > 0 {
		return missing, false
	}
	m.reserved += cost
	return 0, true
}

// release ends the reservation for a submission that was committed or failed; w may be nil.
func (m *memory) release(w *wire.Workflow) {
	if w == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved -= workflow.Cost(w)
}

// reserveMemory reserves memory for a new workflow until its command is committed, or fills in the reply if there is none.
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
			_, ok = c.memory.reserve(t.Held()-missing, cost) // applying the submission removes jobs whose retention has passed
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
