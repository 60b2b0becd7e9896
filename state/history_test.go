package state_test

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"

	"daisyswitch/state"
	"daisyswitch/wire"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type request struct {
	operator       string
	sequence, base uint64
	target         int64
}

type response struct {
	received bool // an answer reached the operator
	outcome  wire.Outcome
	version  uint64
}

// modelState is what operators may rely on: a single version, and the first answer to each request.
type modelState struct {
	version uint64
	first   map[request]response
}

var operators = porcupine.Model{
	Init: func() any { return modelState{version: 1} },
	Step: func(s, in, out any) (bool, any) {
		b, q, a := s.(modelState), in.(request), out.(response)
		want := b.expected(q)
		if want.outcome == wire.Outcome_OUTCOME_ACCEPTED && b.first[q] == (response{}) {
			b.version++
		}
		b.first = maps.Clone(b.first)
		if b.first == nil {
			b.first = map[request]response{}
		}
		if b.firstUse(q) == (request{}) {
			b.first[q] = want
		}
		return !a.received || a == want, b
	},
	Equal: reflect.DeepEqual,
}

func (b modelState) expected(q request) response {
	if first, repeated := b.first[q]; repeated {
		return first
	}
	if q.base != b.version || b.firstUse(q) != (request{}) {
		return response{true, wire.Outcome_OUTCOME_CONFLICT, b.version}
	}
	return response{true, wire.Outcome_OUTCOME_ACCEPTED, b.version + 1}
}

// firstUse returns the request that first used q's operator and sequence number, or the zero request.
func (b modelState) firstUse(q request) request {
	for first := range b.first {
		if first.operator == q.operator && first.sequence == q.sequence {
			return first
		}
	}
	return request{}
}

// simulateRace lets operators send, lose answers and resend over a log whose leader changes and whose replicas restart from snapshots.
func simulateRace(rng *rand.Rand) []porcupine.Operation {
	machines := []*state.Machine{state.New(state.Options{}), state.New(state.Options{})}
	var log []*wire.Command
	leader, clock, version := 0, int64(0), uint64(1)
	deliver := func(q request) *wire.ChangeResult {
		log = append(log, &wire.Command{Change: putClass(q.operator, q.sequence, q.base, q.target)})
		if rng.IntN(4) == 0 {
			leader = 1 - leader
		}
		if rng.IntN(4) == 0 { // the other replica restarts from a snapshot
			machines[1-leader] = state.New(state.Options{})
			if err := machines[1-leader].Restore(proto.CloneOf(machines[leader].Snapshot())); err != nil {
				panic(err)
			}
		}
		m := machines[leader]
		for m.Index() < uint64(len(log)-1) {
			m.Apply(m.Index()+1, log[m.Index()])
		}
		return m.Apply(uint64(len(log)), log[len(log)-1]).Change
	}
	var operations []porcupine.Operation
	open := map[int]*porcupine.Operation{}
	var sent []request
	for range 60 {
		clock++
		if len(sent) > 0 && rng.IntN(6) == 0 { // a delayed duplicate arrives
			deliver(sent[rng.IntN(len(sent))])
		}
		client := rng.IntN(4)
		o := open[client]
		if o == nil {
			q := request{[]string{"ana", "bea"}[client%2], 1 + rng.Uint64N(4), version, rng.Int64N(2) + 1}
			sent = append(sent, q)
			open[client] = &porcupine.Operation{ClientId: client, Input: q, Call: clock}
			continue
		}
		if rng.IntN(3) == 0 { // the request is lost
			continue
		}
		result := deliver(o.Input.(request))
		if rng.IntN(3) == 0 { // the answer is lost; the operator resends later
			continue
		}
		clock++
		version = max(version, result.Version)
		o.Output, o.Return = response{true, result.Outcome, result.Version}, clock
		operations = append(operations, *o)
		delete(open, client)
	}
	for _, o := range open {
		o.Output, o.Return = response{}, clock+1
		operations = append(operations, *o)
	}
	return operations
}

// TestRacingOperatorsSeeOneOrder checks promise 2 of the configuration: requests and answers of concurrent operators are linearizable.
func TestRacingOperatorsSeeOneOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := simulateRace(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		assert.Assert(t, porcupine.CheckOperations(operators, history), "%v", history)
	})
}
