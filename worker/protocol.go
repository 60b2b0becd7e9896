package worker

import "daisyswitch/resource"

// PollPath is where a worker posts its report and is answered with orders.
const PollPath = "/v1/workers/:name/poll"

// Report is the body of a poll: all that the worker holds and how it fares.
type Report struct {
	Name        string        `json:"name"`
	Domain      string        `json:"domain"`
	Rack        string        `json:"rack"`
	Incarnation string        `json:"incarnation"` // new with each start of the worker's process
	Sequence    uint64        `json:"sequence"`    // grows by one with each poll; one poll is open at a time
	Capacity    resource.Size `json:"capacity"`
	Leaving     bool          `json:"leaving,omitempty"`
	Tasks       []TaskReport  `json:"tasks"` // running ones, and ended ones until told to forget them
}

// The phases of a task as its worker knows it.
const (
	PhaseRunning = "running"
	PhaseDone    = "done"
	PhaseFailed  = "failed"
	PhaseStopped = "stopped" // by order or at the lease's end, with its last checkpoint
)

// TaskReport is the state of one attempt on a worker.
type TaskReport struct {
	Job             string        `json:"job"`
	Index           int32         `json:"index"`
	Attempt         uint32        `json:"attempt"`
	Phase           string        `json:"phase"`
	Used            resource.Size `json:"used"`                       // measured some time ago
	Size            resource.Size `json:"size,omitzero"`              // as last told; a worker that leaves it out is told of no other
	Checkpoint      uint64        `json:"checkpoint,omitempty"`       // sequence of the last checkpoint, 0 for none
	CheckpointData  []byte        `json:"checkpoint_data,omitempty"`  // base64
	Reason          string        `json:"reason,omitempty"`           // of a failure
	P99US           int64         `json:"p99_us,omitempty"`           // services: tail latency, microseconds
	ProgressPPM     int64         `json:"progress_ppm,omitempty"`     // batch: speed against an undisturbed run, parts per million
	ThrottlePercent int32         `json:"throttle_percent,omitempty"` // share of processors taken away
}

// Reply answers a poll.
type Reply struct {
	LeaseMS int64   `json:"lease_ms"`          // counted from when the poll was sent, milliseconds
	Refusal string  `json:"refusal,omitempty"` // why there is no lease
	Orders  []Order `json:"orders"`
}

// The kinds of orders.
const (
	OrderStart      = "start"      // dropped if the poll was sent more than StartWithin ago
	OrderThrottle   = "throttle"   // take away a share of the processors
	OrderCheckpoint = "checkpoint" // checkpoint, then stop
	OrderStop       = "stop"       // stop at once
	OrderForget     = "forget"     // the end of this attempt is recorded
	OrderResize     = "resize"     // another size is committed for a running attempt; comes before starts that take the room
)

// StartWithinMS is how old a poll may be, in milliseconds, when a start that answers it is carried out.
const StartWithinMS = 3000

// Order tells a worker what to do with one attempt.
type Order struct {
	Kind            string        `json:"kind"`
	Job             string        `json:"job"`
	Index           int32         `json:"index"`
	Attempt         uint32        `json:"attempt"`
	Class           string        `json:"class,omitempty"`
	Program         string        `json:"program,omitempty"`
	Service         bool          `json:"service,omitempty"` // keeps running past the lease's end
	Size            resource.Size `json:"size,omitzero"`
	ExpectedMS      int64         `json:"expected_ms,omitempty"`
	ThrottlePercent int32         `json:"throttle_percent,omitempty"`
	Checkpoint      uint64        `json:"checkpoint,omitempty"`
	CheckpointData  []byte        `json:"checkpoint_data,omitempty"`
}
