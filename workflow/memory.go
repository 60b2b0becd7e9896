package workflow

import (
	"cmp"
	"slices"

	"daisyswitch/wire"

	"google.golang.org/protobuf/proto"
)

// Estimated bytes of memory of the parts of a job.
const (
	jobBytes       = 1024
	stepSpecBytes  = 320 // of a step's specification, beside its encoded size
	referenceBytes = 12  // from a step to an earlier one
	stepBytes      = 160 // of each occurrence
	taskBytes      = 128
)

// Cost estimates the bytes of memory that a workflow takes on every replica from its acceptance until it is removed.
func Cost(w *wire.Workflow) int64 {
	steps, references, tasks := int64(len(w.GetSteps())), int64(0), int64(0)
	for _, s := range w.GetSteps() {
		references += int64(len(s.GetAfter()))
		tasks += int64(s.GetCount())
	}
	occurrences := int64(max(1, w.GetOccurrences()))
	return jobBytes + 2*int64(proto.Size(w)) + steps*stepSpecBytes + references*referenceBytes + occurrences*(steps*stepBytes+tasks*taskBytes)
}

// Held returns the bytes that all jobs take by the estimate of Cost.
func (t *Tables) Held() int64 { return t.held }

// RoomAfterMS returns the milliseconds until ended jobs that take the given bytes can be removed, 0 if they can be now.
// If too few jobs have ended, it returns the retention, since jobs that end now are kept for that long.
func (t *Tables) RoomAfterMS(nowMS, bytes int64) int64 {
	var ended []*Job
	for _, j := range t.Jobs {
		if j.EndedMS != 0 && !j.isCommitted() {
			ended = append(ended, j)
		}
	}
	slices.SortFunc(ended, func(a, b *Job) int { return cmp.Compare(a.EndedMS, b.EndedMS) })
	for _, j := range ended {
		if bytes -= j.cost; bytes <= 0 {
			return max(0, j.EndedMS+endedRetentionMS+1-nowMS)
		}
	}
	return endedRetentionMS
}
