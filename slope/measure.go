package slope

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Measure is a cost that is measured as a function of one size.
type Measure struct {
	Role        string
	Name        string
	Unit        string // unit of the cost
	Per         string // what the size counts, in the singular
	Sizes       []int  // at least four
	RunsPerSize int    // measurements of each size, of which the median is used
	Cost        func(size int) float64
	DesignSize  float64
}

// Result is a measure with its measured costs and the fitted line.
type Result struct {
	*Measure
	Costs []float64
	Line  Line
}

// RunMeasure measures the cost at each size and fits the line.
func RunMeasure(m *Measure) Result {
	var sizes, costs []float64
	for _, size := range m.Sizes {
		runs := make([]float64, m.RunsPerSize)
		for i := range runs {
			runs[i] = m.Cost(size)
		}
		slices.Sort(runs)
		sizes = append(sizes, float64(size))
		costs = append(costs, runs[len(runs)/2])
	}
	return Result{Measure: m, Costs: costs, Line: Fit(sizes, costs)}
}

// CostAtDesignSize returns the extrapolated cost at the design size.
func (r Result) CostAtDesignSize() float64 {
	return r.Line.At(r.DesignSize)
}

// Row returns the result as a row of a Markdown table.
func (r Result) Row() string {
	return fmt.Sprintf("| %s | %s | %v | %.3g + %.3g per %s | %.1f%% | %.0f | %.4g %s |",
		r.Role, r.Name, r.Sizes, r.Line.Base, r.Line.Slope, r.Per, 100*r.Line.Residual, r.DesignSize, r.CostAtDesignSize(), r.Unit)
}

// cpuMillis returns the processor time used by f, in milliseconds.
func cpuMillis(f func()) float64 {
	runtime.GC()
	before := processCPUTime()
	f()
	return float64(processCPUTime()-before) / float64(time.Millisecond)
}

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapMiB returns the growth of the live heap by the value that f returns, in mebibytes.
func heapMiB(f func() any) float64 {
	before := liveHeap()
	kept := f()
	grown := float64(liveHeap()-before) / (1 << 20)
	runtime.KeepAlive(kept)
	return grown
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
