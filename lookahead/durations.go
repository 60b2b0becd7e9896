package lookahead

import (
	"math"
	"time"
)

// Layout of a distribution: four buckets per doubling, so that a quantile is off by at most a fifth, from 50 ms to 54 s.
const (
	bucketsPerDoubling = 4
	bucketCount        = 41
	shortest           = 50 * time.Millisecond
)

// Number of runs after which the counts are halved, so that a distribution follows a change of load within a few hundred runs, and the least number before a distribution is used, since the first runs to end are the shortest.
const (
	window     = 512
	minSamples = 24
)

// upperBounds holds the upper bound of each bucket.
var upperBounds = func() (bounds [bucketCount]time.Duration) {
	for i := range bounds {
		bounds[i] = time.Duration(float64(shortest) * math.Pow(2, float64(i)/bucketsPerDoubling))
	}
	return bounds
}()

// bucketOf returns the bucket of a run time; the last bucket holds everything longer than its bound.
func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	return min(int(math.Ceil(bucketsPerDoubling*math.Log2(float64(d)/float64(shortest)))), bucketCount-1)
}

// Distribution is a histogram of run times in which recent runs count more. The zero value is empty.
type Distribution struct {
	counts [bucketCount]uint16
	total  int
	mean   time.Duration
}

// Record adds the run time of a run that ended by itself.
func (d *Distribution) Record(run time.Duration) {
	if d.total >= window {
		d.total = 0
		for i := range d.counts {
			d.counts[i] /= 2
			d.total += int(d.counts[i])
		}
	}
	d.counts[bucketOf(run)]++
	d.total++
	d.mean += (run - d.mean) / time.Duration(d.total)
}

// Known reports whether enough runs were recorded for the other methods to be meaningful.
func (d *Distribution) Known() bool { return d != nil && d.total >= minSamples }

// Mean returns the mean run time.
func (d *Distribution) Mean() time.Duration { return d.mean }

// Remaining returns the time within which a run that has been going on for the given time will end with the given probability. It returns false if no run has been seen to last that long.
func (d *Distribution) Remaining(elapsed time.Duration, probability float64) (time.Duration, bool) {
	first := 0
	for first < bucketCount-1 && upperBounds[first] <= elapsed {
		first++
	}
	tail := 0
	for _, count := range d.counts[first:] {
		tail += int(count)
	}
	if tail == 0 {
		return 0, false
	}
	needed := int(math.Ceil(probability * float64(tail)))
	for i := first; i < bucketCount; i++ {
		if needed -= int(d.counts[i]); needed <= 0 {
			return max(0, upperBounds[i]-elapsed), i < bucketCount-1
		}
	}
	return 0, false
}

// Key names the tasks that share a distribution.
type Key struct{ Queue, Image string }

// maxKeys bounds the distributions; an installation has a few dozen images, and one distribution takes 100 bytes.
const maxKeys = 10_000

// Durations holds the distributions by queue and image, and by queue alone for images that are new.
type Durations struct {
	byKey map[Key]*Distribution
}

// NewDurations returns an empty set of distributions.
func NewDurations() *Durations { return &Durations{byKey: map[Key]*Distribution{}} }

// Record adds the run time of a run that ended by itself.
func (d *Durations) Record(key Key, run time.Duration) {
	d.at(key).Record(run)
	if key.Image != "" {
		d.at(Key{Queue: key.Queue}).Record(run)
	}
}

func (d *Durations) at(key Key) *Distribution {
	if d.byKey[key] == nil {
		if len(d.byKey) >= maxKeys {
			clear(d.byKey)
		}
		d.byKey[key] = &Distribution{}
	}
	return d.byKey[key]
}

// Of returns the distribution of a key, or else of its queue, or nil if neither is known.
func (d *Durations) Of(key Key) *Distribution {
	if own := d.byKey[key]; own.Known() {
		return own
	}
	if queue := d.byKey[Key{Queue: key.Queue}]; queue.Known() {
		return queue
	}
	return nil
}
