package standin

import "daisyswitch/resource"

// The kinds of task effects.
const (
	TaskBooted    = "boot"   // the worker process started; no attempt of an earlier process runs any more
	TaskStarted   = "start"  // an attempt started without a checkpoint
	TaskResumed   = "resume" // an attempt started from a checkpoint
	TaskEnded     = "end"    // an attempt ended on its own
	TaskStopped   = "stop"   // an attempt was stopped
	TaskForgotten = "forgot" // control notified the worker that it has recorded the end of an attempt
)

// The reasons of ends and stops.
const (
	ReasonDone      = "done"
	ReasonFailed    = "failed"
	ReasonEvicted   = "evicted"   // ordered to checkpoint and stop
	ReasonStopped   = "stopped"   // ordered to stop immediately
	ReasonLeaseEnd  = "lease_end" // the lease expired without renewal
	ReasonNoLease   = "no_lease"  // a reply revoked the lease
	ReasonLeaving   = "leaving"   // the worker is leaving
	ReasonForgotten = "forgotten" // ordered to forget an attempt that was still running
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
	Checkpoint  uint64        `json:"checkpoint,omitempty"` // checkpoint resumed from, or last one at the end
	Reason      string        `json:"reason,omitempty"`
	Committed   resource.Size `json:"committed,omitzero"` // on the worker, after the effect
	Capacity    resource.Size `json:"capacity,omitzero"`
}

// The kinds of request effects.
const (
	RequestRan      = "ran"     // the request was executed
	RequestRefused  = "refused" // refused without being executed
	UpstreamLeaving = "leaving" // the upstream began to leave
	UpstreamStopped = "stopped" // the upstream process ends
)

// RequestEffect is one line of an upstream's journal.
type RequestEffect struct {
	Kind       string `json:"kind"`
	TimeUS     int64  `json:"time_us"` // Unix time, microseconds
	Upstream   string `json:"upstream"`
	RequestID  string `json:"request_id,omitempty"`
	Class      string `json:"class,omitempty"`
	Method     string `json:"method,omitempty"`
	LeavingMS  int64  `json:"leaving_ms,omitempty"`  // since an entry accepted the announcement that it leaves; 0 before
	InProgress int    `json:"in_progress,omitempty"` // requests aborted when the process ended
}

// The outcomes of a request as observed by its caller.
const (
	OutcomeOK      = "ok"      // an intact response to this request
	OutcomeWrong   = "wrong"   // a response that looked complete but was corrupt or belonged to another request
	OutcomeBroken  = "broken"  // a response or connection that failed visibly
	OutcomeRefused = "refused" // every entry refused the connection
	OutcomeVerdict = "verdict" // a response of daisyswitch itself, with a verdict
	OutcomeHung    = "hung"    // no response by the deadline and a grace period
)

// Told is one line of a caller's journal: the outcome of one request.
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

// The kinds of events in the journal of a demo or test driver.
const (
	DomainOut      = "domain_out"      // an operator's command to take a domain out was accepted
	DomainIn       = "domain_in"       // an operator's command to take a domain back in was accepted
	Killed         = "killed"          // a process was killed (SIGKILL)
	StopBegan      = "stop_began"      // a planned stop began
	StopEnded      = "stop_ended"      // the stopped process exited
	ConfigAccepted = "config_accepted" // a configuration version was accepted
	ConfigSeen     = "config_seen"     // a configuration version was seen active at an entry
	CutOff         = "cut_off"         // a process was partitioned from the others
	Joined         = "joined"          // the partition of a process ended
	Frozen         = "frozen"          // a process was suspended (SIGSTOP)
	Thawed         = "thawed"          // a suspended process continued
	JobCancelled   = "job_cancelled"   // an operator cancelled a job
	TaskNotRun     = "task_not_run"    // control reported that a task never ran
	Finished       = "finished"        // the driver has waited for all jobs to finish
)

// RunEvent is one line of the journal of a demo or test driver.
type RunEvent struct {
	Kind    string `json:"kind"`
	TimeUS  int64  `json:"time_us"`           // Unix time, microseconds
	Name    string `json:"name,omitempty"`    // process, entry or job
	Address string `json:"address,omitempty"` // address of the entry for callers
	Domain  string `json:"domain,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Index   int32  `json:"index,omitempty"`
	Code    int    `json:"code,omitempty"` // exit code
}
