package worker

import "daisyswitch/resource"

// PollPath is the path of the endpoint to which a worker posts its report and which replies with orders.
const PollPath = "/v1/workers/:name/poll"

// Report is the body of a poll: the worker's capacity and the state of all its attempts.
type Report struct {
	Name        string        `json:"name"`
	Domain      string        `json:"domain"`
	Rack        string        `json:"rack"`
	Incarnation string        `json:"incarnation"` // new with each start of the worker's process
	Sequence    uint64        `json:"sequence"`    // increases by one with each poll; a worker has one poll open at a time
	Capacity    resource.Size `json:"capacity"`
	Leaving     bool          `json:"leaving,omitempty"`
	Tasks       []TaskReport  `json:"tasks"` // running attempts, and ended ones until an order to forget them
}

// The phases of an attempt, as its worker reports them.
const (
	PhaseRunning = "running"
	PhaseDone    = "done"
	PhaseFailed  = "failed"
	PhaseStopped = "stopped" // by an order or because the lease expired; reported with the last checkpoint
)

// TaskReport is the state of one attempt on a worker.
type TaskReport struct {
	Job             string        `json:"job"`
	Index           int32         `json:"index"`
	Attempt         uint32        `json:"attempt"`
	Phase           string        `json:"phase"`
	Used            resource.Size `json:"used"`                       // usage; the measurement may be some time old
	Size            resource.Size `json:"size,omitzero"`              // as last ordered; a worker that omits it receives no resize orders
	Checkpoint      uint64        `json:"checkpoint,omitempty"`       // sequence of the last checkpoint, 0 for none
	CheckpointData  []byte        `json:"checkpoint_data,omitempty"`  // base64
	Reason          string        `json:"reason,omitempty"`           // of a failure
	P99US           int64         `json:"p99_us,omitempty"`           // services: 99th percentile of latency, microseconds
	ProgressPPM     int64         `json:"progress_ppm,omitempty"`     // batch: speed relative to a run without interference, parts per million
	ThrottlePercent int32         `json:"throttle_percent,omitempty"` // share of its processors withheld from the attempt
}

// Reply is the response to a poll.
type Reply struct {
	LeaseMS int64   `json:"lease_ms"`          // from the time at which the poll was sent, milliseconds
	Refusal string  `json:"refusal,omitempty"` // why no lease is granted
	Orders  []Order `json:"orders"`
}

// The kinds of orders.
const (
	OrderStart      = "start"      // dropped if the poll was sent more than MaxStartAgeMS ago
	OrderThrottle   = "throttle"   // withhold a share of the processors
	OrderCheckpoint = "checkpoint" // write a checkpoint, then stop
	OrderStop       = "stop"       // stop immediately
	OrderForget     = "forget"     // control has recorded the end of this attempt; stop reporting it
	OrderResize     = "resize"     // another size is committed for a running attempt; precedes starts that use the freed capacity
)

// MaxStartAgeMS is the highest age of a poll, in milliseconds, at which the worker still carries out a start order from its reply.
const MaxStartAgeMS = 3000

// Order is an instruction to a worker about one attempt.
type Order struct {
	Kind            string        `json:"kind"`
	Job             string        `json:"job"`
	Index           int32         `json:"index"`
	Attempt         uint32        `json:"attempt"`
	Class           string        `json:"class,omitempty"`
	Program         string        `json:"program,omitempty"`
	Service         bool          `json:"service,omitempty"` // keeps running after the lease expires
	Size            resource.Size `json:"size,omitzero"`
	ExpectedMS      int64         `json:"expected_ms,omitempty"`
	ThrottlePercent int32         `json:"throttle_percent,omitempty"`
	Checkpoint      uint64        `json:"checkpoint,omitempty"`
	CheckpointData  []byte        `json:"checkpoint_data,omitempty"`
}
