package operator

import (
	"time"

	"daisyswitch/resource"
)

// The headers of a change.
const (
	HeaderOperator    = "Daisyswitch-Operator"     // who asks; needed for every change
	HeaderSequence    = "Daisyswitch-Sequence"     // the operator's number for the change; a resend carries the same
	HeaderBaseVersion = "Daisyswitch-Base-Version" // configuration version that the change was made from
	HeaderVerdict     = "Daisyswitch-Verdict"      // on failures: whether the change may have been made
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
	TargetP99US  int64  `json:"target_p99_us,omitempty"` // services: tail latency, microseconds
	TargetVolume int64  `json:"target_volume,omitempty"` // batch: tasks a day
	DueMinute    int32  `json:"due_minute,omitempty"`    // batch: minute of the day, UTC
}

// Team is a team and the most that its tasks may hold together.
type Team struct {
	Name  string        `json:"name"`
	Quota resource.Size `json:"quota"`
}

// Domain is a failure domain and whether it is out of service.
type Domain struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// Configuration is all that operators have set.
type Configuration struct {
	Version uint64   `json:"version"`
	Classes []Class  `json:"classes"`
	Teams   []Team   `json:"teams"`
	Domains []Domain `json:"domains"`
}

// The outcomes of a change.
const (
	OutcomeAccepted = "accepted"
	OutcomeConflict = "conflict" // another change won
	OutcomeRefused  = "refused"  // the change makes no sense
)

// Result answers a change.
type Result struct {
	Outcome string       `json:"outcome"`
	Version uint64       `json:"version,omitempty"` // configuration version after the change
	Job     string       `json:"job,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Winner  *AuditRecord `json:"winner,omitempty"` // of a conflict
}

// AuditRecord is one line of the audit trail.
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

// Audit is a part of the audit trail.
type Audit struct {
	Folded  uint64        `json:"folded"` // oldest records that are no longer kept
	Records []AuditRecord `json:"records"`
}

// Job is a request to run tasks, and its identity afterwards.
type Job struct {
	ID         string        `json:"id,omitempty"` // chosen by control
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
	Reason     string    `json:"reason,omitempty"` // why it failed, cannot run, or waits
	Changed    time.Time `json:"changed"`
}

// JobStatus is a job with its tasks.
type JobStatus struct {
	Job       Job       `json:"job"`
	Cancelled bool      `json:"cancelled,omitempty"`
	Submitted time.Time `json:"submitted"`
	Tasks     []Task    `json:"tasks"`
}

// ClassStatus is one line of the slide: a class, its target and what it got.
type ClassStatus struct {
	Class
	P99US     int64 `json:"p99_us"`   // services: measured over the last window, microseconds
	Requests  int64 `json:"requests"` // services: in that window
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
	Match   uint64 `json:"match"` // log index that it is known to hold
	Active  bool   `json:"active"`
}

// Entry is an entry process as the leader sees it.
type Entry struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	Version  uint64 `json:"version"` // configuration in force there
	SilentMS int64  `json:"silent_ms"`
}

// Status is the slide and what stands behind it.
type Status struct {
	Configuration Configuration `json:"configuration"`
	Classes       []ClassStatus `json:"classes"`
	Leader        uint64        `json:"leader"`
	Term          uint64        `json:"term"`
	Index         uint64        `json:"index"` // last applied log index
	Replicas      []Replica     `json:"replicas"`
	Entries       []Entry       `json:"entries"`
	Workers       int64         `json:"workers"`
	WorkersGone   int64         `json:"workers_gone"` // lost, or left
	Capacity      resource.Size `json:"capacity"`
	Committed     resource.Size `json:"committed"`
}

// Failure is the body of every answer that is not a result.
type Failure struct {
	Code    string `json:"code"` // bad_request, not_found, unavailable, timeout
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}
