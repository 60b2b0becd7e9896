package fakeworker

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"daisyswitch/resource"
	"daisyswitch/worker"
)

// ref names one attempt.
type ref struct {
	job     string
	index   int32
	attempt uint32
}

func refOf(o worker.Order) ref {
	return ref{o.Job, o.Index, o.Attempt}
}

// sample is the use of resources at one moment.
type sample struct {
	at   time.Time
	used resource.Size
}

// task is one attempt on the worker.
type task struct {
	order      worker.Order  // its size is the one last told
	first      resource.Size // that it started with
	phase      string
	reason     string
	needs      time.Duration // run time undisturbed
	done       time.Duration // of needs
	checkpoint uint64
	saved      time.Duration // what was done at the checkpoint
	saveAt     time.Time     // next checkpoint is due
	throttle   int32
	speed      float64  // 1 undisturbed
	never      bool     // stopped before its start had come
	samples    []sample // no older than the lag, oldest first
}

func newTask(o worker.Order, now time.Time, scale float64) *task {
	t := &task{
		order:      o,
		first:      o.Size,
		phase:      worker.PhaseRunning,
		needs:      time.Duration(float64(o.ExpectedMS) * float64(time.Millisecond) * scale * drawn(o.Job+strconv.Itoa(int(o.Index)), 0.5, 2)),
		checkpoint: o.Checkpoint,
		throttle:   o.ThrottlePercent,
		speed:      1,
		saveAt:     now.Add(saveEvery),
	}
	if ms, err := strconv.ParseInt(string(o.CheckpointData), 10, 64); err == nil {
		t.done = time.Duration(ms) * time.Millisecond
		t.saved = t.done
	}
	return t
}

func (t *task) running() bool {
	return t.phase == worker.PhaseRunning
}

// save takes a checkpoint.
func (t *task) save(now time.Time) {
	t.checkpoint++
	t.saved = t.done
	t.saveAt = now.Add(saveEvery)
}

// end moves the attempt to a final phase, after which it uses nothing.
func (t *task) end(phase, reason string) {
	t.phase = phase
	t.reason = reason
	t.samples = nil
}

// advance runs the task for a while and reports whether it came to its own end.
func (t *task) advance(took time.Duration, speed float64) bool {
	t.speed = speed
	t.done += time.Duration(float64(took) * speed)
	return !t.order.Service && t.done >= t.needs
}

// use returns what the task really takes, which is not what was declared.
func (t *task) use() resource.Size {
	share := drawn(t.order.Program, 0.4, 1.1)
	left := float64(100-t.throttle) / 100
	return resource.Size{
		MilliCPU:     int64(float64(t.first.MilliCPU) * share * left),
		MemoryMiB:    int64(float64(t.first.MemoryMiB) * min(share, 1)),
		Accelerators: t.first.Accelerators,
	}
}

// measure notes the present use and drops samples that the lag has passed.
func (t *task) measure(now time.Time, lag time.Duration) {
	t.samples = append(t.samples, sample{now, t.use()})
	for len(t.samples) > 1 && now.Sub(t.samples[1].at) >= lag {
		t.samples = t.samples[1:]
	}
}

// used returns the use as measured a lag ago, nothing while there is no such measurement.
func (t *task) used(now time.Time, lag time.Duration) resource.Size {
	if len(t.samples) == 0 || now.Sub(t.samples[0].at) < lag {
		return resource.Size{}
	}
	return t.samples[0].used
}

// fails reports whether the program is one that fails everywhere.
func (t *task) fails() bool {
	return strings.HasPrefix(t.order.Program, failingPrefix)
}

// drawn returns a number from low to high that is always the same for a key.
func drawn(key string, low, high float64) float64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	return low + (high-low)*float64(h.Sum64()%1000)/999
}
