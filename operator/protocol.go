package operator

import (
	"time"

	"daisyswitch/resource"
)

// The headers of a change.
const (
	HeaderOperator    = "Daisyswitch-Operator"     // name of the operator; required for every change
	HeaderSequence    = "Daisyswitch-Sequence"     // the operator's number for the change; a retry carries the same
	HeaderBaseVersion = "Daisyswitch-Base-Version" // configuration version that the change is based on
	HeaderVerdict     = "Daisyswitch-Verdict"      // on errors: whether the change may have been made
)

// The kinds of classes.
const (
	KindService = "service"
	KindBatch   = "batch"
)

// Class is a class of work and its target.
type Class struct {
	Name         string `json:"name"`
	Kind         string `json:"kind"`                    // KindService or KindBatch
	TargetP99US  int64  `json:"target_p99_us,omitempty"` // services: 99th percentile of latency, microseconds
	TargetVolume int64  `json:"target_volume,omitempty"` // batch: tasks per day
	DueMinute    int32  `json:"due_minute,omitempty"`    // batch: minute of the day by which the volume is due, UTC
}

// Team is a team and the most resources that its tasks may hold in total.
type Team struct {
	Name  string        `json:"name"`
	Quota resource.Size `json:"quota"`
}

// Domain is a failure domain and whether it is out of service.
type Domain struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// Configuration is everything that operators have configured.
type Configuration struct {
	Version uint64   `json:"version"`
	Classes []Class  `json:"classes"`
	Teams   []Team   `json:"teams"`
	Domains []Domain `json:"domains"`
}

// The outcomes of a change.
const (
	OutcomeAccepted = "accepted"
	OutcomeConflict = "conflict" // another change was made since the base version, or the sequence was used for another request
	OutcomeRefused  = "refused"  // the change is invalid
)

// Result is the response to a change.
type Result struct {
	Outcome string       `json:"outcome"`
	Version uint64       `json:"version,omitempty"` // configuration version after the change
	Job     string       `json:"job,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Winner  *AuditRecord `json:"winner,omitempty"` // on a conflict: the change that took precedence
}

// AuditRecord is one record of the audit trail.
type AuditRecord struct {
	Index    uint64    `json:"index"` // log index
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	Sequence uint64    `json:"sequence"`
	Action   string    `json:"action"`
	Before   string    `json:"before,omitempty"` // JSON
	After    string    `json:"after,omitempty"`  // JSON
	Version  uint64    `json:"version"`
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason,omitempty"`
}

// Audit is a page of the audit trail.
type Audit struct {
	Pruned  uint64        `json:"folded"` // number of oldest records that are no longer kept
	Records []AuditRecord `json:"records"`
}

// Job is a request to run tasks; control assigns its ID.
type Job struct {
	ID         string        `json:"id,omitempty"` // assigned by control
	Team       string        `json:"team"`
	Class      string        `json:"class"`
	Program    string        `json:"program"`
	Urgent     bool          `json:"urgent,omitempty"`
	Size       resource.Size `json:"size"` // of each task
	Tasks      int32         `json:"tasks"`
	ExpectedMS int64         `json:"expected_ms"`
	MinDomains int32         `json:"min_domains,omitempty"`
}

// Task is the state of one task of a job.
type Task struct {
	Index      int32     `json:"index"`
	State      string    `json:"state"`
	Attempt    uint32    `json:"attempt"`
	Worker     string    `json:"worker,omitempty"`
	Checkpoint uint64    `json:"checkpoint,omitempty"`
	Failures   uint32    `json:"failures,omitempty"`
	Evictions  uint32    `json:"evictions,omitempty"`
	Reason     string    `json:"reason,omitempty"` // why the task failed, cannot run or is waiting
	Changed    time.Time `json:"changed"`
}

// JobStatus is a job with its tasks.
type JobStatus struct {
	Job       Job       `json:"job"`
	Cancelled bool      `json:"cancelled,omitempty"`
	Submitted time.Time `json:"submitted"`
	Tasks     []Task    `json:"tasks"`
}

// ClassStatus is one row of the status table: a class, its target and its results.
type ClassStatus struct {
	Class
	P99US     int64 `json:"p99_us"`   // services: 99th percentile of latency over the last window, microseconds
	Requests  int64 `json:"requests"` // services: number of requests in that window
	Queued    int64 `json:"queued"`
	Running   int64 `json:"running"`
	Done      int64 `json:"done"`
	DoneToday int64 `json:"done_today"`
	Failed    int64 `json:"failed"`
	Evicted   int64 `json:"evicted"`
}

// Replica is a control process as the leader sees it.
type Replica struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Match   uint64 `json:"match"` // highest log index that the replica is known to hold
	Active  bool   `json:"active"`
}

// Entry is an entry process as the leader sees it.
type Entry struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	Version  uint64 `json:"version"` // version of the configuration active there
	SilentMS int64  `json:"silent_ms"`
}

// Status is the state of the cluster: classes against their targets, control, entries and workers.
type Status struct {
	Configuration Configuration `json:"configuration"`
	Classes       []ClassStatus `json:"classes"`
	Leader        uint64        `json:"leader"`
	Term          uint64        `json:"term"`
	Index         uint64        `json:"index"` // index of the last applied log entry
	Replicas      []Replica     `json:"replicas"`
	Entries       []Entry       `json:"entries"`
	Workers       int64         `json:"workers"`
	WorkersGone   int64         `json:"workers_gone"` // lost, or left
	Capacity      resource.Size `json:"capacity"`
	Committed     resource.Size `json:"committed"`
}

// Failure is the body of every error response.
type Failure struct {
	Code    string `json:"code"` // bad_request, not_found, unavailable, timeout
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}
