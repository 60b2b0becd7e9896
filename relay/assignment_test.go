package relay_test

import (
	"fmt"
	"testing"

	"daisyswitch/relay"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var zones = []string{"za", "zb", "zc"}

func workersOf(n int) map[string]string {
	workers := map[string]string{}
	for i := range n {
		workers[fmt.Sprintf("w%d", i)] = zones[i%3]
	}
	return workers
}

func membersOf(n int) []relay.Member {
	var members []relay.Member
	for i := range n {
		members = append(members, relay.Member{Address: fmt.Sprintf("m%d:1", i), Domain: zones[i%3]})
	}
	return members
}

// TestFewWorkersAreCalledDirectly guards against relayed calls where the leader's own connections suffice.
func TestFewWorkersAreCalledDirectly(t *testing.T) {
	a := relay.NewAssignment(541)
	a.Update(membersOf(5), workersOf(541))
	for w := range workersOf(541) {
		assert.Equal(t, a.Of(w), "")
	}
	a.Update(membersOf(5), workersOf(542))
	assert.Equal(t, a.Loads()[""], 541)
	a.Update(membersOf(5), workersOf(480))
	assert.Equal(t, a.Of("w3"), "")
	assert.Assert(t, !a.Many(541))
}

// TestNoMemberHasMoreThanItsShare guards against one member that gets the workers of all, after members fail and return in any order.
func TestNoMemberHasMoreThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const direct = 40
		a := relay.NewAssignment(direct)
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			n, workers := rapid.IntRange(0, 5).Draw(t, "members"), rapid.IntRange(0, 240).Draw(t, "workers")
			for range 10 { // an update moves a limited number of workers
				a.Update(membersOf(n), workersOf(workers))
			}
			total := 0
			for address, load := range a.Loads() {
				total += load
				if workers <= direct*(n+1) {
					assert.Assert(t, load <= direct, "%q calls %d workers of %d with %d members", address, load, workers, n)
				}
			}
			assert.Assert(t, total == workers || total == 0 && workers <= direct, "%d of %d workers are assigned", total, workers)
			if n > 0 && workers > direct {
				w := fmt.Sprintf("w%d", rapid.IntRange(0, workers-1).Draw(t, "failed"))
				before := a.Of(w)
				for range 3 {
					a.Failed(w, before)
				}
				assert.Assert(t, n == 1 || before == "" || a.Of(w) != before, "a worker stays with the member through which it cannot be called")
			}
		}
	})
}

// TestWorkersStayWhereTheyAre guards against updates that move workers without need, and checks that a returned member gets its share again.
func TestWorkersStayWhereTheyAre(t *testing.T) {
	a, workers := relay.NewAssignment(541), workersOf(3000)
	a.Update(membersOf(5), workers)
	before := map[string]string{}
	for w := range workers {
		before[w] = a.Of(w)
	}
	a.Update(membersOf(4), workers)
	moved, others := 0, 0
	for w := range workers {
		if a.Of(w) == before[w] {
			continue
		}
		if moved++; before[w] != "m4:1" {
			others++
		}
	}
	assert.Assert(t, moved > 400 && others <= 50, "%d workers were moved, %d of them without need", moved, others)
	for range 20 {
		a.Update(membersOf(5), workers)
	}
	assert.Assert(t, a.Loads()["m4:1"] > 300, "%v", a.Loads())
}

// TestSlowWorkersAreNotMovedAllAtOnce guards against workers that move on with each call that times out, as in an overloaded group, where every member comes to have connections to all of them.
func TestSlowWorkersAreNotMovedAllAtOnce(t *testing.T) {
	a, workers := relay.NewAssignment(100), 500
	a.Update(membersOf(5), workersOf(workers))
	before := map[string]string{}
	for w := range workersOf(workers) {
		before[w] = a.Of(w)
	}
	moved := func() int {
		count := 0
		for w, address := range before {
			if a.Of(w) != address {
				count++
			}
		}
		return count
	}
	for w := range before {
		a.Failed(w, a.Of(w))
		a.Failed(w, a.Of(w))
		a.Succeeded(w)
		a.Failed(w, a.Of(w))
	}
	assert.Equal(t, moved(), 0, "workers whose calls did not fail three times in a row were moved")
	for range 10 {
		for w := range before {
			a.Failed(w, a.Of(w))
		}
	}
	assert.Assert(t, moved() > 0 && moved() <= 50, "%d workers were moved before the next update", moved())
}
