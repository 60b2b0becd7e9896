package clock

import (
	"sync/atomic"
	"time"
)

// Limits of what counts as a pause of the process.
const (
	checkInterval = 50 * time.Millisecond
	maxGap        = 300 * time.Millisecond // between checks, beyond which the process was paused
)

// PauseDetector tells whether the process has lately been paused: suspended, stopped or without a processor. What it received meanwhile may be outdated, though it has just been read.
type PauseDetector struct {
	now     func() time.Duration
	recent  time.Duration
	last    atomic.Int64 // time of the last check
	ended   atomic.Int64 // end of the last pause, 0 if there was none
	stop    chan struct{}
	stopped chan struct{}
}

// NewPauseDetector returns a detector on the given clock, which must include suspended time. A pause counts as recent for the given time after its end.
func NewPauseDetector(now func() time.Duration, recent time.Duration) *PauseDetector {
	d := &PauseDetector{now: now, recent: recent, stop: make(chan struct{}), stopped: make(chan struct{})}
	d.last.Store(int64(now()))
	go d.run()
	return d
}

func (d *PauseDetector) run() {
	defer close(d.stopped)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.check()
		}
	}
}

func (d *PauseDetector) check() time.Duration {
	now := d.now()
	if now-time.Duration(d.last.Swap(int64(now))) > maxGap {
		d.ended.Store(int64(now))
	}
	return now
}

// Recent reports whether the process was paused within the last moments.
func (d *PauseDetector) Recent() bool {
	now := d.check()
	ended := time.Duration(d.ended.Load())
	return ended != 0 && now-ended < d.recent
}

// Close stops the detector and waits for it.
func (d *PauseDetector) Close() {
	close(d.stop)
	<-d.stopped
}
