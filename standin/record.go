package standin

import "daisyswitch/resource"

// The kinds of task effects.
const (
	TaskBooted    = "boot"   // the worker's process started; nothing of an earlier one runs any more
	TaskStarted   = "start"  // an attempt started from nothing
	TaskResumed   = "resume" // an attempt started from a checkpoint
	TaskEnded     = "end"    // an attempt ended by itself
	TaskStopped   = "stop"   // an attempt was stopped
	TaskForgotten = "forgot" // told that control has recorded the end of an attempt
)

// The reasons of ends and stops.
const (
	ReasonDone      = "done"
	ReasonFailed    = "failed"
	ReasonEvicted   = "evicted"   // told to checkpoint and stop
	ReasonStopped   = "stopped"   // told to stop at once
	ReasonLeaseEnd  = "lease_end" // no answer renewed the lease in time
	ReasonNoLease   = "no_lease"  // an answer took the lease away
	ReasonLeaving   = "leaving"   // the worker itself leaves
	ReasonForgotten = "forgotten" // told to forget an attempt that was still running
)

// TaskEffect is one line of a worker's journal.
type TaskEffect struct {
	Kind        string        `json:"kind"`
	TimeUS      int64         `json:"time_us"` // Unix time, microseconds
	Worker      string        `json:"worker"`
	Incarnation string        `json:"incarnation"`
	Domain      string        `json:"domain"`
	Job         string        `json:"job,omitempty"`
	Index       int32         `json:"index"`
	Attempt     uint32        `json:"attempt,omitempty"`
	Service     bool          `json:"service,omitempty"`
	Checkpoint  uint64        `json:"checkpoint,omitempty"` // resumed from, or stopped with
	Reason      string        `json:"reason,omitempty"`
	Committed   resource.Size `json:"committed,omitzero"` // on the worker, after a start
	Capacity    resource.Size `json:"capacity,omitzero"`
}

// The kinds of request effects.
const (
	RequestRan      = "ran"     // the request had its effect
	RequestRefused  = "refused" // refused by protocol, without effect
	UpstreamLeaving = "leaving" // the upstream began to leave
	UpstreamStopped = "stopped" // the upstream's process ends
)

// RequestEffect is one line of an upstream's journal.
type RequestEffect struct {
	Kind       string `json:"kind"`
	TimeUS     int64  `json:"time_us"` // Unix time, microseconds
	Upstream   string `json:"upstream"`
	RequestID  string `json:"request_id,omitempty"`
	Class      string `json:"class,omitempty"`
	Method     string `json:"method,omitempty"`
	LeavingMS  int64  `json:"leaving_ms,omitempty"`  // since an entry took the announcement that it leaves, 0 before
	InProgress int    `json:"in_progress,omitempty"` // requests cut when the process ended
}

// The outcomes of a request as its caller saw them.
const (
	OutcomeOK      = "ok"      // a whole answer to its own request
	OutcomeWrong   = "wrong"   // an answer that looked complete and was not whole or not its own
	OutcomeBroken  = "broken"  // an answer or connection that visibly broke off
	OutcomeRefused = "refused" // no entry took the connection
	OutcomeVerdict = "verdict" // an answer of daisyswitch itself, with a verdict
	OutcomeHung    = "hung"    // nothing by the deadline and a grace
)

// Told is one line of a caller's journal: what one request was answered.
type Told struct {
	RequestID  string `json:"request_id"`
	Class      string `json:"class"`
	Method     string `json:"method"`
	Idempotent bool   `json:"idempotent"`
	Entry      string `json:"entry"`
	SentUS     int64  `json:"sent_us"` // Unix time, microseconds
	DoneUS     int64  `json:"done_us"`
	Outcome    string `json:"outcome"`
	Verdict    string `json:"verdict,omitempty"`
	Status     int    `json:"status,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// The kinds of happenings.
const (
	DomainOut      = "domain_out"      // operators' command to take a domain out was accepted
	DomainIn       = "domain_in"       // operators' command to take it back was accepted
	Killed         = "killed"          // a process was killed without warning
	StopBegan      = "stop_began"      // a planned stop began
	StopEnded      = "stop_ended"      // the stopped process is gone
	ConfigAccepted = "config_accepted" // a configuration version was accepted
	ConfigSeen     = "config_seen"     // an entry had a configuration version in force
	CutOff         = "cut_off"         // a process can't reach the others any more
	Joined         = "joined"          // it can again
	Frozen         = "frozen"          // a process was halted as a whole
	Thawed         = "thawed"          // it goes on
	JobCancelled   = "job_cancelled"   // operators cancelled a job
	TaskNotRun     = "task_not_run"    // control said that a task never ran
	Finished       = "finished"        // all jobs were given time to finish
)

// Happening is one line of the journal of whoever drives a demo or test.
type Happening struct {
	Kind    string `json:"kind"`
	TimeUS  int64  `json:"time_us"`           // Unix time, microseconds
	Name    string `json:"name,omitempty"`    // process, entry or job
	Address string `json:"address,omitempty"` // where callers reach the entry
	Domain  string `json:"domain,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Index   int32  `json:"index,omitempty"`
	Code    int    `json:"code,omitempty"` // exit code
}
