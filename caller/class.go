package caller

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
	latencyFigures   = 2 // significant
	p99              = 99
)

// class is what the front knows of one class.
type class struct {
	name     string
	retries  *metrics.Counter
	requests [3]*metrics.Counter // by verdict
	duration *metrics.Histogram
	order    atomic.Pointer[queue.Class]
	median   atomic.Int64 // microseconds, of the last window

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	kind      wire.ClassKind
	target    int64 // microseconds, 0 for none
}

func newClass(name string) *class {
	c := &class{
		name:      name,
		retries:   metrics.GetOrCreateCounter(fmt.Sprintf(`daisyswitch_retries_total{class=%q}`, name)),
		duration:  metrics.GetOrCreateHistogram(fmt.Sprintf(`daisyswitch_request_duration_seconds{class=%q}`, name)),
		histogram: hdrhistogram.New(lowestLatencyUS, highestLatencyUS, latencyFigures),
	}
	for _, v := range []verdict.Verdict{verdict.Unknown, verdict.NotRun, verdict.Ran} {
		c.requests[v] = requestCounter(name, v)
	}
	return c
}

func requestCounter(class string, v verdict.Verdict) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`daisyswitch_requests_total{class=%q,verdict=%q}`, class, v))
}

// queueClass returns the class's place among others.
func (c *class) queueClass() queue.Class {
	return *c.order.Load()
}

// usual returns the median latency of the last window, which a request needs at least when it leaves the queue.
func (c *class) usual() time.Duration {
	return time.Duration(c.median.Load()) * time.Microsecond
}

// describe takes the class's kind and target from a configuration.
func (c *class) describe(w *wire.Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kind = w.GetKind()
	c.target = w.GetTargetP99Us()
	c.setOrder(0)
}

// setOrder is called with the lock held.
func (c *class) setOrder(p99US int64) {
	order := &queue.Class{Name: c.name, Rank: 1}
	if c.kind == wire.ClassKind_CLASS_KIND_SERVICE {
		order.Rank = 0
	}
	if c.target > 0 {
		order.Distance = float64(p99US) / float64(c.target)
	}
	c.order.Store(order)
}

func (c *class) record(v verdict.Verdict, latency time.Duration) {
	c.requests[v].Inc()
	if v == verdict.NotRun {
		return
	}
	c.duration.Update(latency.Seconds())
	us := min(max(latency.Microseconds(), lowestLatencyUS), highestLatencyUS)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.histogram.RecordValue(us) //nolint:errcheck // the value is within the bounds
}

// sample returns the window's measurement and begins a new window; nil if nothing was measured.
func (c *class) sample() *wire.ServiceSample {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.histogram.TotalCount()
	if count == 0 {
		return nil
	}
	s := &wire.ServiceSample{Class: c.name, Requests: count, P99Us: c.histogram.ValueAtPercentile(p99)}
	c.median.Store(c.histogram.ValueAtPercentile(50))
	c.setOrder(s.P99Us)
	c.histogram.Reset()
	return s
}

// classes is the table of classes in force.
type classes struct {
	table atomic.Pointer[map[string]*class]

	mu      sync.Mutex // of changes
	version uint64
}

func newClasses() *classes {
	return &classes{}
}

// set puts a configuration in force; classes that stay keep their measurements.
func (c *classes) set(configuration *wire.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && configuration.GetVersion() < c.version {
		return
	}
	table := make(map[string]*class, len(configuration.GetClasses()))
	for _, w := range configuration.GetClasses() {
		known := c.find(w.GetName())
		if known == nil {
			known = newClass(w.GetName())
		}
		known.describe(w)
		table[w.GetName()] = known
	}
	c.version = configuration.GetVersion()
	c.table.Store(&table)
}

func (c *classes) ready() bool {
	return c.table.Load() != nil
}

// find returns nil if the class is unknown.
func (c *classes) find(name string) *class {
	table := c.table.Load()
	if table == nil {
		return nil
	}
	return (*table)[name]
}

// count notes the end of a request; a nil class stands for those that named none known.
func (c *classes) count(of *class, v verdict.Verdict, latency time.Duration) {
	if of == nil {
		requestCounter("", v).Inc()
		return
	}
	of.record(v, latency)
}

func (c *classes) samples() []*wire.ServiceSample {
	table := c.table.Load()
	if table == nil {
		return nil
	}
	var list []*wire.ServiceSample
	for _, of := range *table {
		if s := of.sample(); s != nil {
			list = append(list, s)
		}
	}
	return list
}
