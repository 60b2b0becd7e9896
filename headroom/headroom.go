package headroom

import (
	"time"

	"daisyswitch/interference"
)

// What is believed before the first reading; readings are noisy, since load swings headroom by about as much as a neighbor does.
var beliefs = interference.Options{
	Mean:     3.5,  // headroom lost beside a filling task on a whole worker, between the harmless and the harmful pairs of the standard days
	Variance: 9,    // of that
	Noise:    0.5,  // variance of one reading, from the swing of the load
	Drift:    1e-3, // costs shift over minutes
}

// Share is how much of a worker a filling image uses.
type Share struct {
	Image string
	Share float64 // 1 for all of the worker's processors
}

// Table holds the costs of pairs of images.
type Table struct {
	pairs *interference.Table
}

// New returns a table without readings.
func New() *Table {
	return &Table{pairs: interference.New(beliefs)}
}

// Learn takes one reading of a serving task's headroom beside filling tasks.
func (t *Table) Learn(serving string, beside []Share, headroom float64) {
	shares := make([]interference.Share, len(beside))
	for i, b := range beside {
		shares[i] = interference.Share{Program: t.pairs.Number(b.Image), Share: b.Share}
	}
	t.pairs.Learn(t.pairs.Number(serving), 0, shares, -headroom)
}

// Cost returns the headroom that a serving image is believed to lose beside a filling one on a whole worker.
func (t *Table) Cost(serving, filling string) float64 {
	return t.pairs.Cost(t.pairs.Number(serving), t.pairs.Number(filling)).Mean
}

// Lost returns what a serving image loses beside all of the given shares.
func (t *Table) Lost(serving string, beside []Share) float64 {
	lost := 0.0
	for _, b := range beside {
		lost += t.Cost(serving, b.Image) * b.Share
	}
	return lost
}

// Base follows one serving task's headroom without filling tasks, which swings with its load.
type Base struct {
	Now float64       // latest, smoothed
	Low float64       // lowest of late
	at  time.Duration // of the last reading
}

// Smoothing of a base.
const (
	newest = 0.5  // weight of the newest of the rough readings, of which there is one or two a second
	rise   = 0.12 // headroom a second by which the low mark rises: a swing of load passes within some ten seconds
)

// Read takes a reading of headroom, with what was lost beside filling tasks at that time.
func (b *Base) Read(now time.Duration, headroom, lost float64) {
	alone := headroom + lost
	if b.at == 0 {
		b.Now, b.Low = alone, alone
	}
	b.Now += newest * (alone - b.Now)
	b.Low = min(b.Now, b.Low+rise*(now-b.at).Seconds())
	b.at = now
}
