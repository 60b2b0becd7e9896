package class

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"daisyswitch/queue"
	"daisyswitch/verdict"
	"daisyswitch/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

const (
	lowestLatencyUS  = 1
	highestLatencyUS = int64(time.Hour / time.Microsecond)
	latencyDigits    = 2 // significant digits
	p99              = 99
)

// Class holds the configuration, metrics and latency measurements of one class.
type Class struct {
	Name       string
	Retries    *metrics.Counter
	requests   [3]*metrics.Counter // by verdict
	duration   *metrics.Histogram
	queueClass atomic.Pointer[queue.Class]
	medianUS   atomic.Int64 // in microseconds, of the last window

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	kind      wire.ClassKind
	targetUS  int64 // in microseconds, 0 for none
}

func newClass(name string) *Class {
	c := &Class{
		Name:      name,
		Retries:   metrics.GetOrCreateCounter(fmt.Sprintf(`daisyswitch_retries_total{class=%q}`, name)),
		duration:  metrics.GetOrCreateHistogram(fmt.Sprintf(`daisyswitch_request_duration_seconds{class=%q}`, name)),
		histogram: hdrhistogram.New(lowestLatencyUS, highestLatencyUS, latencyDigits),
	}
	for _, v := range []verdict.Verdict{verdict.Unknown, verdict.NotRun, verdict.Ran} {
		c.requests[v] = requestCounter(name, v)
	}
	return c
}

func requestCounter(class string, v verdict.Verdict) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`daisyswitch_requests_total{class=%q,verdict=%q}`, class, v))
}

// QueueOrder returns the parameters that order this class among others in the queue.
func (c *Class) QueueOrder() queue.Class {
	return *c.queueClass.Load()
}

// MedianLatency returns the median latency of the last window. A request that leaves the queue needs about this much time before its deadline.
func (c *Class) MedianLatency() time.Duration {
	return time.Duration(c.medianUS.Load()) * time.Microsecond
}

// configure sets the class's kind and target from a configuration.
func (c *Class) configure(w *wire.Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kind = w.GetKind()
	c.targetUS = w.GetTargetP99Us()
	c.setOrder(0)
}

// setOrder is called with the lock held.
func (c *Class) setOrder(p99US int64) {
	queueClass := &queue.Class{Name: c.Name, Rank: 1}
	if c.kind == wire.ClassKind_CLASS_KIND_SERVICE {
		queueClass.Rank = 0
	}
	if c.targetUS > 0 {
		queueClass.LatencyRatio = float64(p99US) / float64(c.targetUS)
	}
	c.queueClass.Store(queueClass)
}

func (c *Class) record(v verdict.Verdict, latency time.Duration) {
	c.requests[v].Inc()
	if v == verdict.NotRun {
		return
	}
	c.duration.Update(latency.Seconds())
	us := min(max(latency.Microseconds(), lowestLatencyUS), highestLatencyUS)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.histogram.RecordValue(us) //nolint:errcheck // the value is clamped to the histogram's range
}

// sample returns the measurements of the current window and starts a new one; nil if there are none.
func (c *Class) sample() *wire.ServiceSample {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.histogram.TotalCount()
	if count == 0 {
		return nil
	}
	s := &wire.ServiceSample{Class: c.Name, Requests: count, P99Us: c.histogram.ValueAtPercentile(p99)}
	if latencies, err := c.histogram.EncodeV2(); err == nil {
		s.Latencies = latencies // without the histogram, the sample still has its 99th percentile
	}
	c.medianUS.Store(c.histogram.ValueAtPercentile(50))
	c.setOrder(s.P99Us)
	c.histogram.Reset()
	return s
}

// Table holds the classes of the active configuration.
type Table struct {
	classes atomic.Pointer[map[string]*Class]

	mu      sync.Mutex // held for changes
	version uint64
}

// NewTable returns a table without a configuration.
func NewTable() *Table {
	return &Table{}
}

// Set applies a configuration unless it is older than the active one; classes that remain keep their measurements.
func (t *Table) Set(configuration *wire.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.classes.Load()
	if current != nil && configuration.GetVersion() < t.version {
		return
	}
	classes := make(map[string]*Class, len(configuration.GetClasses()))
	for _, w := range configuration.GetClasses() {
		known := t.Find(w.GetName())
		if known == nil {
			known = newClass(w.GetName())
		}
		known.configure(w)
		classes[w.GetName()] = known
	}
	t.version = configuration.GetVersion()
	t.classes.Store(&classes)
}

// Ready reports whether a configuration has been applied.
func (t *Table) Ready() bool {
	return t.classes.Load() != nil
}

// Find returns the class with the name, or nil if there is none.
func (t *Table) Find(name string) *Class {
	classes := t.classes.Load()
	if classes == nil {
		return nil
	}
	return (*classes)[name]
}

// Count records the outcome and latency of a request; a nil class stands for requests without a configured class.
func (t *Table) Count(class *Class, v verdict.Verdict, latency time.Duration) {
	if class == nil {
		requestCounter("", v).Inc()
		return
	}
	class.record(v, latency)
}

// Samples returns the measurements of each class since the last call.
func (t *Table) Samples() []*wire.ServiceSample {
	classes := t.classes.Load()
	if classes == nil {
		return nil
	}
	var list []*wire.ServiceSample
	for _, class := range *classes {
		if s := class.sample(); s != nil {
			list = append(list, s)
		}
	}
	return list
}
