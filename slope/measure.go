package slope

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Measure is one cost that grows with one size.
type Measure struct {
	Role  string
	Name  string
	Unit  string // of the cost
	Per   string // what the size counts
	Sizes []int  // at least four
	Runs  int    // of each size, the median counts
	Cost  func(size int) float64
	Size  float64 // to design for
}

// Result is a measure with its line.
type Result struct {
	*Measure
	Costs []float64
	Line  Line
}

// Take measures the cost at each size.
func Take(m *Measure) Result {
	var sizes, costs []float64
	for _, size := range m.Sizes {
		runs := make([]float64, m.Runs)
		for i := range runs {
			runs[i] = m.Cost(size)
		}
		slices.Sort(runs)
		sizes = append(sizes, float64(size))
		costs = append(costs, runs[len(runs)/2])
	}
	return Result{Measure: m, Costs: costs, Line: Fit(sizes, costs)}
}

// AtDesign returns the cost at the size to design for.
func (r Result) AtDesign() float64 {
	return r.Line.At(r.Size)
}

// Row returns the result as a row of a Markdown table.
func (r Result) Row() string {
	return fmt.Sprintf("| %s | %s | %v | %.3g + %.3g per %s | %.1f%% | %.0f | %.4g %s |",
		r.Role, r.Name, r.Sizes, r.Line.Base, r.Line.Slope, r.Per, 100*r.Line.Residual, r.Size, r.AtDesign(), r.Unit)
}

// cpuMillis returns the processor time that f takes, milliseconds.
func cpuMillis(f func()) float64 {
	runtime.GC()
	before := cpu()
	f()
	return float64(cpu()-before) / float64(time.Millisecond)
}

func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapMiB returns by how much the heap grows with what f returns, mebibytes.
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
