package interference

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLearn checks that noisy readings beside changing neighbors are enough to separate the costs of the pairs from each other and from the program's own load.
func TestLearn(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	table := New(Options{})
	victim, mild, harsh := table.Number("victim"), table.Number("mild"), table.Number("harsh")
	for range 3000 {
		level := r.IntN(3)
		a, b := r.Float64()/2, r.Float64()/2
		reading := 5 + 0.3*float64(level) + 0.1*a + 1.2*b + 0.1*r.NormFloat64()
		table.Learn(victim, level, []Share{{mild, a}, {harsh, b}}, reading)
	}
	assert.Assert(t, math.Abs(table.Cost(victim, mild).Mean-0.1) < 0.1, "%v", table.Cost(victim, mild))
	assert.Assert(t, math.Abs(table.Cost(victim, harsh).Mean-1.2) < 0.1, "%v", table.Cost(victim, harsh))
	for level := range 3 {
		base, _ := table.Base(victim, level)
		assert.Assert(t, math.Abs(base-5-0.3*float64(level)) < 0.05, "level %d: %v", level, base)
	}
}
