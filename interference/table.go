package interference

import "math"

// Program numbers a program within one table.
type Program int32

// Share is how much of a worker's processors a program uses beside another, 1 for all of them.
type Share struct {
	Program Program
	Share   float64
}

// Estimate is what is believed of one cost: the logarithm of the slowdown that a neighbor on the whole worker causes.
type Estimate struct {
	Mean     float64
	Variance float64
	Count    int // readings behind it
}

// Options holds what is believed before the first reading, and how readings are trusted; a zero field takes its default.
type Options struct {
	Mean     float64 // of a pair's cost
	Variance float64 // of a pair's cost
	Noise    float64 // variance of one reading
	Drift    float64 // variance that is added with each reading, since costs shift
}

var defaults = Options{Mean: 0.3, Variance: 0.25, Noise: 0.01, Drift: 1e-5}

// baseVariance is large, so that the first reading of a program at some load counts nearly alone.
const baseVariance = 4

// Table holds the costs of pairs, and what each program's reading is when it is alone, by its own load.
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

// Number returns the number of a program, which it gets when first named.
func (t *Table) Number(name string) Program {
	n, known := t.numbers[name]
	if !known {
		n = Program(len(t.victims))
		t.numbers[name] = n
		t.victims = append(t.victims, victim{base: make(map[int]*Estimate), pairs: make(map[Program]*Estimate)})
	}
	return n
}

// Cost returns what is believed of a neighbor's cost to a victim.
func (t *Table) Cost(of, neighbor Program) Estimate {
	if e := t.victims[of].pairs[neighbor]; e != nil {
		return *e
	}
	return Estimate{Mean: t.options.Mean, Variance: t.options.Variance}
}

// Base returns the expected reading of a program alone at a level of load, taking the nearest level that was read; false if none was.
func (t *Table) Base(of Program, level int) (float64, bool) {
	base := t.victims[of].base
	if e := base[level]; e != nil {
		return e.Mean, true
	}
	for away := 1; away <= farthestLevel; away++ {
		if e := base[level+away]; e != nil {
			return e.Mean, true
		}
		if e := base[level-away]; e != nil {
			return e.Mean, true
		}
	}
	return 0, false
}

const farthestLevel = 16

// Level returns the level of a load, four to each doubling.
func Level(load float64) int {
	if load <= 0 {
		return 0
	}
	return int(math.Floor(4 * math.Log2(load)))
}

// Predict returns the expected reading of a program at a level of load beside its neighbors.
func (t *Table) Predict(of Program, level int, neighbors []Share) float64 {
	sum, _ := t.Base(of, level)
	for _, n := range neighbors {
		sum += t.Cost(of, n.Program).Mean * n.Share
	}
	return sum
}

// Learn takes one reading, the logarithm of a slowdown: what was not foreseen is shared out over the base and the pairs by their uncertainty.
func (t *Table) Learn(of Program, level int, neighbors []Share, reading float64) {
	v := &t.victims[of]
	base := v.base[level]
	if base == nil {
		start, _ := t.Base(of, level)
		base = &Estimate{Mean: start, Variance: baseVariance}
		v.base[level] = base
	}
	missed := reading - base.Mean
	spread := t.options.Noise + base.Variance
	for _, n := range neighbors {
		e := v.pair(n.Program, t.options)
		missed -= e.Mean * n.Share
		spread += e.Variance * n.Share * n.Share
	}
	base.correct(1, missed, spread, t.options.Drift)
	for _, n := range neighbors {
		e := v.pairs[n.Program]
		e.correct(n.Share, missed, spread, t.options.Drift)
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

// correct is the update of a Kalman filter that keeps only the diagonal of the covariance.
func (e *Estimate) correct(weight, missed, spread, drift float64) {
	e.Mean += e.Variance * weight * missed / spread
	e.Variance -= e.Variance * e.Variance * weight * weight / spread
	e.Variance += drift
	e.Count++
}
