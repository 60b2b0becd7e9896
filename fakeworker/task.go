package fakeworker

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"daisyswitch/resource"
	"daisyswitch/worker"
)

// attemptKey identifies one attempt.
type attemptKey struct {
	job     string
	index   int32
	attempt uint32
}

func attemptKeyOf(o worker.Order) attemptKey {
	return attemptKey{o.Job, o.Index, o.Attempt}
}

// sample is the resource use at one point in time.
type sample struct {
	at   time.Time
	used resource.Size
}

// task is one attempt on the worker.
type task struct {
	order          worker.Order  // its size is the last one ordered
	initialSize    resource.Size // size at the start
	phase          string
	reason         string
	totalWork      time.Duration // run time at full speed
	completedWork  time.Duration // completed part of totalWork
	checkpoint     uint64
	checkpointWork time.Duration // completedWork at the latest checkpoint
	nextCheckpoint time.Time     // when the next checkpoint is due
	throttle       int32
	speed          float64  // 1 is full speed
	neverStarted   bool     // stopped before its start arrived
	samples        []sample // oldest first; only the first one may be older than the lag
}

func newTask(o worker.Order, now time.Time, scale float64) *task {
	t := &task{
		order:          o,
		initialSize:    o.Size,
		phase:          worker.PhaseRunning,
		totalWork:      time.Duration(float64(o.ExpectedMS) * float64(time.Millisecond) * scale * hashedValue(o.Job+strconv.Itoa(int(o.Index)), 0.5, 2)),
		checkpoint:     o.Checkpoint,
		throttle:       o.ThrottlePercent,
		speed:          1,
		nextCheckpoint: now.Add(checkpointInterval),
	}
	if ms, err := strconv.ParseInt(string(o.CheckpointData), 10, 64); err == nil {
		t.completedWork = time.Duration(ms) * time.Millisecond
		t.checkpointWork = t.completedWork
	}
	return t
}

func (t *task) running() bool {
	return t.phase == worker.PhaseRunning
}

// takeCheckpoint takes a checkpoint.
func (t *task) takeCheckpoint(now time.Time) {
	t.checkpoint++
	t.checkpointWork = t.completedWork
	t.nextCheckpoint = now.Add(checkpointInterval)
}

// end moves the attempt to a final phase, in which it uses no resources.
func (t *task) end(phase, reason string) {
	t.phase = phase
	t.reason = reason
	t.samples = nil
}

// advance runs the task for the duration took and reports whether it completed.
func (t *task) advance(took time.Duration, speed float64) bool {
	t.speed = speed
	t.completedWork += time.Duration(float64(took) * speed)
	return !t.order.Service && t.completedWork >= t.totalWork
}

// currentUse returns the actual resource use of the task, which differs from its declared size.
func (t *task) currentUse() resource.Size {
	share := hashedValue(t.order.Program, 0.4, 1.1)
	left := float64(100-t.throttle) / 100
	return resource.Size{
		MilliCPU:     int64(float64(t.initialSize.MilliCPU) * share * left),
		MemoryMiB:    int64(float64(t.initialSize.MemoryMiB) * min(share, 1)),
		Accelerators: t.initialSize.Accelerators,
	}
}

// recordUse records the present use and drops the samples that are no longer needed for the lag.
func (t *task) recordUse(now time.Time, lag time.Duration) {
	t.samples = append(t.samples, sample{now, t.currentUse()})
	for len(t.samples) > 1 && now.Sub(t.samples[1].at) >= lag {
		t.samples = t.samples[1:]
	}
}

// used returns the use as measured one lag ago, or zero without such a sample.
func (t *task) used(now time.Time, lag time.Duration) resource.Size {
	if len(t.samples) == 0 || now.Sub(t.samples[0].at) < lag {
		return resource.Size{}
	}
	return t.samples[0].used
}

// fails reports whether the program fails on every worker.
func (t *task) fails() bool {
	return strings.HasPrefix(t.order.Program, failingPrefix)
}

// hashedValue returns a pseudo-random number from low to high that depends on key alone.
func hashedValue(key string, low, high float64) float64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	return low + (high-low)*float64(h.Sum64()%1000)/999
}
