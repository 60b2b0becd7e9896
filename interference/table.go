package interference

import "math"

// Program is the number of a program within one table.
type Program int32

// Share is the share of a worker's processors that a neighboring program uses, 1 for all of them.
type Share struct {
	Program Program
	Share   float64
}

// Estimate is the estimate of one interference cost: the logarithm of the slowdown caused by a neighbor that uses all of the worker's processors. For a base, it estimates the program's reading without neighbors.
type Estimate struct {
	Mean     float64
	Variance float64
	Count    int // number of readings
}

// Options holds the prior of the costs and the noise model of the readings; a zero field takes its default.
type Options struct {
	Mean     float64 // prior mean of a pair's cost
	Variance float64 // prior variance of a pair's cost
	Noise    float64 // variance of one reading
	Drift    float64 // variance added with each reading, since costs change over time
}

var defaults = Options{Mean: 0.3, Variance: 0.25, Noise: 0.01, Drift: 1e-5}

// baseVariance is large, so that the first reading of a program at a load level determines its base almost alone.
const baseVariance = 4

// Table holds the estimated costs of program pairs, and each program's base reading, without neighbors, by its own load level.
type Table struct {
	options Options
	numbers map[string]Program
	victims []victim
}

type victim struct {
	base  map[int]*Estimate // by level of the program's own load
	pairs map[Program]*Estimate
}

// New returns a table without readings.
func New(o Options) *Table {
	if o.Mean == 0 {
		o.Mean = defaults.Mean
	}
	if o.Variance == 0 {
		o.Variance = defaults.Variance
	}
	if o.Noise == 0 {
		o.Noise = defaults.Noise
	}
	if o.Drift == 0 {
		o.Drift = defaults.Drift
	}
	return &Table{options: o, numbers: make(map[string]Program)}
}

// Number returns the number of a program, and assigns one on the first call.
func (t *Table) Number(name string) Program {
	n, known := t.numbers[name]
	if !known {
		n = Program(len(t.victims))
		t.numbers[name] = n
		t.victims = append(t.victims, victim{base: make(map[int]*Estimate), pairs: make(map[Program]*Estimate)})
	}
	return n
}

// Cost returns the estimated cost of a neighbor to a program, or the prior if there is no reading.
func (t *Table) Cost(of, neighbor Program) Estimate {
	if e := t.victims[of].pairs[neighbor]; e != nil {
		return *e
	}
	return Estimate{Mean: t.options.Mean, Variance: t.options.Variance}
}

// Base returns the expected reading of a program without neighbors at a load level, or at the nearest level with readings. It returns false if there is none within reach.
func (t *Table) Base(of Program, level int) (float64, bool) {
	base := t.victims[of].base
	if e := base[level]; e != nil {
		return e.Mean, true
	}
	for away := 1; away <= maxLevelDistance; away++ {
		if e := base[level+away]; e != nil {
			return e.Mean, true
		}
		if e := base[level-away]; e != nil {
			return e.Mean, true
		}
	}
	return 0, false
}

const maxLevelDistance = 16

// Level returns the level of a load, with four levels per doubling.
func Level(load float64) int {
	if load <= 0 {
		return 0
	}
	return int(math.Floor(4 * math.Log2(load)))
}

// Predict returns the expected reading of a program at a load level beside the given neighbors.
func (t *Table) Predict(of Program, level int, neighbors []Share) float64 {
	sum, _ := t.Base(of, level)
	for _, n := range neighbors {
		sum += t.Cost(of, n.Program).Mean * n.Share
	}
	return sum
}

// Learn applies one reading, the logarithm of a latency. The prediction error is distributed over the base and the pairs in proportion to their variance.
func (t *Table) Learn(of Program, level int, neighbors []Share, reading float64) {
	v := &t.victims[of]
	base := v.base[level]
	if base == nil {
		start, _ := t.Base(of, level)
		base = &Estimate{Mean: start, Variance: baseVariance}
		v.base[level] = base
	}
	residual := reading - base.Mean
	residualVariance := t.options.Noise + base.Variance
	for _, n := range neighbors {
		e := v.pair(n.Program, t.options)
		residual -= e.Mean * n.Share
		residualVariance += e.Variance * n.Share * n.Share
	}
	base.update(1, residual, residualVariance, t.options.Drift)
	for _, n := range neighbors {
		e := v.pairs[n.Program]
		e.update(n.Share, residual, residualVariance, t.options.Drift)
		e.Mean = max(0, e.Mean)
	}
}

func (v *victim) pair(neighbor Program, o Options) *Estimate {
	e := v.pairs[neighbor]
	if e == nil {
		e = &Estimate{Mean: o.Mean, Variance: o.Variance}
		v.pairs[neighbor] = e
	}
	return e
}

// update applies the update step of a Kalman filter that keeps only the diagonal of the covariance.
func (e *Estimate) update(weight, residual, residualVariance, drift float64) {
	e.Mean += e.Variance * weight * residual / residualVariance
	e.Variance -= e.Variance * e.Variance * weight * weight / residualVariance
	e.Variance += drift
	e.Count++
}
