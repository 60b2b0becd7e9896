package call

import (
	"context"
	"errors"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// ErrOtherWorker reports that a worker with another id answered and executed nothing, so the addressed worker has ended.
var ErrOtherWorker = errors.New("another worker answered")

// ErrRestarted reports that a later incarnation under the worker's id answered. It may have executed this order and earlier ones.
var ErrRestarted = errors.New("a later incarnation of the worker answered")

// ErrNotSent reports that no connection to the worker could be opened, so no part of the order was sent.
var ErrNotSent = errors.New("no connection to the worker")

// Refusal is why a worker did not carry out an order.
type Refusal int

// The refusals, and Accepted for an order that was not refused.
const (
	Accepted       Refusal = iota
	StaleFence             // the worker has seen a higher fencing token
	StaleRun               // this run of the task, or a later one, has been stopped or has ended on the worker
	DeadlinePassed         // the order's deadline has passed
	NoRoom                 // the task does not fit into the worker's free capacity
	InvalidTicket          // the adviser's ticket is missing or has expired
	Unhealthy              // the worker accepts no orders at the moment
	Unreadable             // the worker could not parse the order
)

var refusals = [...]string{"accepted", "deposed", "overtaken", "too late", "no room", "no ticket", "unhealthy", "unreadable"}

// String returns the refusal for logs.
func (r Refusal) String() string { return refusals[r] }

// Fence is the fencing token of an order, which a worker obeys only if it has seen no higher one.
// A later leadership has a higher one, and so has a later incarnation of the worker, which would otherwise execute late what was meant for an earlier one.
type Fence struct {
	Term     uint64 // of the leadership
	Restarts uint64 // of the worker, by the replicated state, in which it grows before the first order for a later incarnation
}

// Token returns the number that is sent to the worker.
func (f Fence) Token() uint64 { return f.Term + f.Restarts }

// Start tells a worker to run a task.
type Start struct {
	Task       workflow.Name
	Run        int32
	Payload    string
	DeadlineMS int64 // lease expiry for all runs on the worker, by the worker's clock
	Fence      Fence
	Checkpoint string
	Ticket     string
}

// Stop tells a worker to end a run, or not to start it if it has not started yet.
type Stop struct {
	Task  workflow.Name
	Run   int32
	Fence Fence
}

// Pace tells a worker to throttle a run to a percentage of its full speed.
type Pace struct {
	Task         workflow.Name
	Run          int32
	SpeedPercent int
	Fence        Fence
}

// Hold renews a worker's lease and requests its running and ended runs.
type Hold struct {
	DeadlineMS int64 // by the worker's clock; 0 leaves the lease unchanged
	Fence      Fence
	Noted      int64         // ended runs up to this number are committed, so the worker may discard them
	Wait       time.Duration // longest time the worker may wait for a run to end before it answers (long poll)
}

// Answer is a worker's response to a Start, Stop or Pace.
type Answer struct {
	ClockMS int64 // the worker's clock, 0 if unknown
	Refusal Refusal
}

// Running is a run in progress in a worker's listing.
type Running struct {
	Task            workflow.Name
	Run             int32
	Checkpoint      string
	ProgressPercent int
	LatencyOrCPU    float64 // tail latency in milliseconds for a lasting task with a target; CPU use in thousandths of a core for other tasks
}

// Ended is an ended run in a worker's listing.
type Ended struct {
	Number     int64
	Task       workflow.Name
	Run        int32
	Outcome    wire.RunOutcome
	Checkpoint string
}

// Listing is a worker's response to a Hold.
type Listing struct {
	Answer
	Running  []Running
	Ended    []Ended
	MoreEnds bool // the worker may have further ends, which it lists once these are noted
}

// Functions call workers. After an error other than ErrOtherWorker and ErrNotSent, the order may have been carried out or may still be carried out later.
type Functions struct {
	Start func(context.Context, *wire.CalledWorker, *Start) (*Answer, error)
	Stop  func(context.Context, *wire.CalledWorker, *Stop) (*Answer, error)
	Hold  func(context.Context, *wire.CalledWorker, *Hold) (*Listing, error)
	Pace  func(context.Context, *wire.CalledWorker, *Pace) (*Answer, error)
}
