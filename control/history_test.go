package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/verdict"
	"daisyswitch/wire"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// operationInput is an operator's request: a read, or a change of one class to a target that no other change uses.
type operationInput struct {
	read   bool
	base   uint64
	target int64
}

// operationOutput is the answer that the operator received.
type operationOutput struct {
	unanswered bool // no answer was received, so the change may have been made
	outcome    wire.Outcome
	version    uint64
	target     int64
}

// configuration is the model's state: the version and the target of the class.
type configuration struct {
	version uint64
	target  int64
}

// model is a single configuration to which changes are applied one at a time.
var model = porcupine.Model{
	Init: func() any { return configuration{version: 1} },
	Step: func(state, input, output any) (bool, any) {
		c, in, out := state.(configuration), input.(operationInput), output.(operationOutput)
		if in.read {
			return out.version == c.version && out.target == c.target, c
		}
		changed := configuration{c.version + 1, in.target}
		switch {
		case out.unanswered && in.base == c.version:
			return true, changed
		case out.unanswered:
			return true, c
		case out.outcome == wire.Outcome_OUTCOME_ACCEPTED:
			return in.base == c.version && out.version == changed.version, changed
		default:
			return in.base != c.version && out.version == c.version, c
		}
	},
}

// history records the requests of concurrent operators and their answers.
type history struct {
	t  *testing.T
	mu sync.Mutex

	operations []porcupine.Operation
	unanswered int
	notRun     int
}

const requestTimeout = 600 * time.Millisecond // short, so that some answers are lost

const neverReturned = int64(1) << 60 // return time of an operation that was never answered

func (h *history) add(id int, in operationInput, call time.Time, out operationOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := time.Now().UnixNano()
	if out.unanswered {
		returned = neverReturned
		h.unanswered++
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: id, Input: in, Call: call.UnixNano(), Output: out, Return: returned})
}

// runOperator reads, proposes a change based on what it read, and sometimes resends its last change, until stop is closed.
func (h *history) runOperator(id int, c *client, rng *rand.Rand, stop chan struct{}) {
	var last *wire.Command
	var first *wire.ChangeResult
	version := uint64(1)
	for n := int64(1); ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(400)) * time.Millisecond):
		}
		if read, ok := h.read(id, c); ok {
			version = read
		}
		if first != nil && rng.IntN(4) == 0 {
			h.resend(c, last, first)
		}
		last, first = h.change(id, c, n, version)
	}
}

func (h *history) read(id int, c *client) (version uint64, ok bool) {
	ctx, cancel := context.WithTimeout(h.t.Context(), requestTimeout)
	defer cancel()
	call := time.Now()
	reply, err := c.Read(ctx, &wire.ReadRequest{Kind: wire.ReadKind_READ_KIND_STATUS})
	if err != nil {
		return 0, false
	}
	out := operationOutput{version: reply.Status.Configuration.Version}
	for _, class := range reply.Status.Configuration.Classes {
		out.target = class.TargetP99Us
	}
	h.add(id, operationInput{read: true}, call, out)
	return out.version, true
}

func (h *history) change(id int, c *client, n int64, base uint64) (*wire.Command, *wire.ChangeResult) {
	in := operationInput{base: base, target: n*10 + int64(id) + 1}
	class := &wire.Class{Name: "bids", Kind: wire.ClassKind_CLASS_KIND_SERVICE, TargetP99Us: in.target}
	change := &wire.Change{Operator: c.name, Sequence: uint64(n), BaseVersion: base, Operation: &wire.Change_PutClass{PutClass: class}}
	command := &wire.Command{Change: change}
	call := time.Now()
	result, err := h.propose(c, command)
	if verdict.Of(err) == verdict.NotRun && err != nil {
		h.mu.Lock()
		h.notRun++
		h.mu.Unlock()
		return nil, nil // the change was not made, so no read may return its target
	}
	if err != nil {
		h.add(id, in, call, operationOutput{unanswered: true})
		return nil, nil
	}
	h.add(id, in, call, operationOutput{outcome: result.Outcome, version: result.Version})
	return command, result
}

func (h *history) propose(c *client, command *wire.Command) (*wire.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(h.t.Context(), requestTimeout)
	defer cancel()
	result, err := c.Propose(ctx, proto.CloneOf(command))
	return result.GetChange(), err
}

// resend sends an answered request again and checks that the answer is the same.
func (h *history) resend(c *client, command *wire.Command, first *wire.ChangeResult) {
	again, err := h.propose(c, command)
	if err == nil && !proto.Equal(again, first) {
		h.t.Errorf("%v was first answered %v, then %v on resend", command, first, again)
	}
}

// TestRacingOperatorsUnderFaults runs three concurrent operators with equal sequence numbers while replicas are partitioned, stopped and lose their disks.
// The history of requests and answers must be linearizable.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t)
				defer g.close()
				h := &history{t: t}
				stop := make(chan struct{})
				var racing sync.WaitGroup
				for id := range 3 {
					c := g.client(fmt.Sprintf("e%d", id))
					rng := rand.New(rand.NewPCG(seed, uint64(id)))
					racing.Go(func() { h.runOperator(id, c, rng, stop) })
				}
				injectFaults(g, rand.New(rand.NewPCG(seed, 9)))
				close(stop)
				racing.Wait()
				t.Logf("%d operations, %d unanswered, %d not run", len(h.operations), h.unanswered, h.notRun)
				assert.Assert(t, len(h.operations) > 100)
				assert.Assert(t, porcupine.CheckOperations(model, h.operations), "the history is not linearizable")
			})
		})
	}
}

// injectFaults partitions, stops or wipes the disk of one replica at a time.
func injectFaults(g *group, rng *rand.Rand) {
	for range 12 {
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		id := uint64(1 + rng.IntN(3))
		host := fmt.Sprintf("c%d", id)
		pause := time.Duration(rng.IntN(4000)) * time.Millisecond
		switch rng.IntN(3) {
		case 0:
			g.isolate(host)
			time.Sleep(pause)
			g.reconnect(host)
		case 1:
			g.stop(id)
			time.Sleep(pause)
			g.start(id)
		case 2:
			g.loseDisk(id)
			_ = waitReady(g, id)
		}
	}
	time.Sleep(5 * time.Second)
}
