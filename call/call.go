package call

import (
	"context"
	"errors"
	"time"

	"daisyswitch/wire"
	"daisyswitch/workflow"
)

// ErrOtherLife says that another life of the worker answered, so that the one that was meant has ended.
var ErrOtherLife = errors.New("another life of the worker answered")

// Refusal is why a worker did not carry out an order.
type Refusal int

// The refusals.
const (
	Accepted   Refusal = iota
	Deposed            // an order with a higher fencing token has come
	Overtaken          // a run that is not lower has been stopped or has ended there
	TooLate            // the order's deadline has passed
	NoRoom             // it does not fit
	NoTicket           // the adviser's ticket is missing or no longer valid
	Unhealthy          // the worker takes nothing now
	Unreadable         // the worker could not read it
)

var refusals = [...]string{"accepted", "deposed", "overtaken", "too late", "no room", "no ticket", "unhealthy", "unreadable"}

// String returns the refusal for logs.
func (r Refusal) String() string { return refusals[r] }

// Start tells a worker to run a task.
type Start struct {
	Task       workflow.Name
	Run        int32
	Payload    string
	DeadlineMS int64 // worker's clock: lease of all that runs there
	Fence      uint64
	Checkpoint string
	Ticket     string
}

// Stop tells a worker to end a run, or never to begin it.
type Stop struct {
	Task  workflow.Name
	Run   int32
	Fence uint64
}

// Pace tells a worker at what share of its speed a run works.
type Pace struct {
	Task    workflow.Name
	Run     int32
	Percent int
	Fence   uint64
}

// Hold renews a worker's lease and asks what runs and what has ended.
type Hold struct {
	DeadlineMS int64 // worker's clock; 0 leaves the lease as it is
	Fence      uint64
	Noted      int64         // ends up to this number are committed and may be forgotten
	Wait       time.Duration // how long the worker may wait for an end before it answers
}

// Answer is a worker's answer to a start, stop or pace.
type Answer struct {
	ClockMS int64 // of the worker, 0 if unknown
	Refusal Refusal
}

// Running is a run that a worker lists.
type Running struct {
	Task       workflow.Name
	Run        int32
	Checkpoint string
	Percent    int
	Figure     float64 // tail latency in milliseconds of a lasting task with a target, thousandths of a core of others
}

// Ended is the end of a run that a worker lists.
type Ended struct {
	Number     int64
	Task       workflow.Name
	Run        int32
	Outcome    wire.RunOutcome
	Checkpoint string
}

// Listing is a worker's answer to a hold.
type Listing struct {
	Answer
	Running []Running
	Ended   []Ended
}

// Functions call workers; an error other than ErrOtherLife leaves open whether the order is carried out, now or later.
type Functions struct {
	Start func(context.Context, *wire.CalledWorker, *Start) (*Answer, error)
	Stop  func(context.Context, *wire.CalledWorker, *Stop) (*Answer, error)
	Hold  func(context.Context, *wire.CalledWorker, *Hold) (*Listing, error)
	Pace  func(context.Context, *wire.CalledWorker, *Pace) (*Answer, error)
}
