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
	latencyFigures   = 2 // significant
	p99              = 99
)

// Class is what an entry knows of one class.
type Class struct {
	Name     string
	Retries  *metrics.Counter
	requests [3]*metrics.Counter // by verdict
	duration *metrics.Histogram
	order    atomic.Pointer[queue.Class]
	median   atomic.Int64 // microseconds, of the last window

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	kind      wire.ClassKind
	target    int64 // microseconds, 0 for none
}

func newClass(name string) *Class {
	c := &Class{
		Name:      name,
		Retries:   metrics.GetOrCreateCounter(fmt.Sprintf(`daisyswitch_retries_total{class=%q}`, name)),
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

// Order returns the class's place among others.
func (c *Class) Order() queue.Class {
	return *c.order.Load()
}

// Usual returns the median latency of the last window, which a request needs at least when it leaves the queue.
func (c *Class) Usual() time.Duration {
	return time.Duration(c.median.Load()) * time.Microsecond
}

// describe takes the class's kind and target from a configuration.
func (c *Class) describe(w *wire.Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kind = w.GetKind()
	c.target = w.GetTargetP99Us()
	c.setOrder(0)
}

// setOrder is called with the lock held.
func (c *Class) setOrder(p99US int64) {
	order := &queue.Class{Name: c.Name, Rank: 1}
	if c.kind == wire.ClassKind_CLASS_KIND_SERVICE {
		order.Rank = 0
	}
	if c.target > 0 {
		order.Distance = float64(p99US) / float64(c.target)
	}
	c.order.Store(order)
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
	c.histogram.RecordValue(us) //nolint:errcheck // the value is within the bounds
}

// sample returns the window's measurement and begins a new window; nil if nothing was measured.
func (c *Class) sample() *wire.ServiceSample {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.histogram.TotalCount()
	if count == 0 {
		return nil
	}
	s := &wire.ServiceSample{Class: c.Name, Requests: count, P99Us: c.histogram.ValueAtPercentile(p99)}
	if latencies, err := c.histogram.EncodeV2(); err == nil {
		s.Latencies = latencies // without them the sample still tells its own tail
	}
	c.median.Store(c.histogram.ValueAtPercentile(50))
	c.setOrder(s.P99Us)
	c.histogram.Reset()
	return s
}

// Table is the table of classes in force.
type Table struct {
	table atomic.Pointer[map[string]*Class]

	mu      sync.Mutex // of changes
	version uint64
}

// NewTable returns a table without a configuration.
func NewTable() *Table {
	return &Table{}
}

// Set puts a configuration in force; classes that stay keep their measurements.
func (c *Table) Set(configuration *wire.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && configuration.GetVersion() < c.version {
		return
	}
	table := make(map[string]*Class, len(configuration.GetClasses()))
	for _, w := range configuration.GetClasses() {
		known := c.Find(w.GetName())
		if known == nil {
			known = newClass(w.GetName())
		}
		known.describe(w)
		table[w.GetName()] = known
	}
	c.version = configuration.GetVersion()
	c.table.Store(&table)
}

// Ready reports whether a configuration is in force.
func (c *Table) Ready() bool {
	return c.table.Load() != nil
}

// Find returns nil if the class is unknown.
func (c *Table) Find(name string) *Class {
	table := c.table.Load()
	if table == nil {
		return nil
	}
	return (*table)[name]
}

// Count notes the end of a request; a nil class stands for those that named none known.
func (c *Table) Count(of *Class, v verdict.Verdict, latency time.Duration) {
	if of == nil {
		requestCounter("", v).Inc()
		return
	}
	of.record(v, latency)
}

// Samples returns what was measured for each class since the last call.
func (c *Table) Samples() []*wire.ServiceSample {
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
