package headroom

import (
	"time"

	"daisyswitch/interference"
)

// priors are the estimates before the first reading. Readings are noisy, since load swings change headroom by about as much as a neighbor does.
var priors = interference.Options{
	Mean:     3.5,  // headroom lost to a filling task that uses a whole worker, between the values of harmless and harmful pairs under typical load
	Variance: 9,    // variance of Mean
	Noise:    0.5,  // variance of one reading, caused by load swings
	Drift:    1e-3, // costs change over minutes
}

// Share is the part of a worker that a filling image uses.
type Share struct {
	Image string
	Share float64 // 1 means all of the worker's processors
}

// Table holds the costs of pairs of images.
type Table struct {
	pairs *interference.Table
}

// New returns a table without readings.
func New() *Table {
	return &Table{pairs: interference.New(priors)}
}

// Learn updates the costs with one reading of a serving task's headroom beside filling tasks.
func (t *Table) Learn(serving string, beside []Share, headroom float64) {
	shares := make([]interference.Share, len(beside))
	for i, b := range beside {
		shares[i] = interference.Share{Program: t.pairs.Number(b.Image), Share: b.Share}
	}
	t.pairs.Learn(t.pairs.Number(serving), 0, shares, -headroom)
}

// Cost returns the estimated headroom that a serving image loses to a filling image that uses a whole worker.
func (t *Table) Cost(serving, filling string) float64 {
	return t.pairs.Cost(t.pairs.Number(serving), t.pairs.Number(filling)).Mean
}

// Lost returns the estimated headroom that a serving image loses to all of the given shares.
func (t *Table) Lost(serving string, beside []Share) float64 {
	lost := 0.0
	for _, b := range beside {
		lost += t.Cost(serving, b.Image) * b.Share
	}
	return lost
}

// Base tracks one serving task's headroom without filling tasks, which varies with its load.
type Base struct {
	Now         float64       // smoothed latest value
	Low         float64       // recent minimum
	lastReading time.Duration // time of the last reading
}

// Smoothing parameters of Base.
const (
	smoothingWeight  = 0.5  // weight of the newest reading; readings are noisy and arrive once or twice a second
	lowRisePerSecond = 0.12 // rise of Low per second; a load swing lasts about ten seconds
)

// Read adds a reading of headroom, with the headroom that was lost to filling tasks at that time.
func (b *Base) Read(now time.Duration, headroom, lost float64) {
	alone := headroom + lost
	if b.lastReading == 0 {
		b.Now, b.Low = alone, alone
	}
	b.Now += smoothingWeight * (alone - b.Now)
	b.Low = min(b.Now, b.Low+lowRisePerSecond*(now-b.lastReading).Seconds())
	b.lastReading = now
}
