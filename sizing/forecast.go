package sizing

import (
	"math"

	"daisyswitch/resource"
)

// Prior variances, used before there are measurements: declared sizes are off by up to a factor of four in either direction, nothing is known of the program, and tasks of one job differ little.
const (
	declaredVariance = 0.64 // of the logarithm of the ratio of declared to measured size
	programVariance  = 4    // of the logarithm of the measured size, between jobs
	taskVariance     = 0.04 // of the logarithm of the measured size, between tasks of a job
	priorCount       = 2
)

// Caution is the number of standard deviations above the expected size to commit.
type Caution struct {
	CPU, Memory float64
}

// moments are the count, sum and sum of squares of a series.
type moments struct {
	count, sum, squares float64
}

func (m *moments) add(x float64) {
	m.count++
	m.sum += x
	m.squares += x * x
}

func (m *moments) mean() float64 {
	return m.sum / max(1, m.count)
}

func (m *moments) variance(prior float64) float64 {
	spread := m.squares - m.count*m.mean()*m.mean()
	return (max(0, spread) + priorCount*prior) / (m.count + priorCount)
}

// Sample holds the peaks of a job's measured tasks; its zero value is empty.
type Sample struct {
	cpu, memory moments // of the logarithms of the peaks
}

// Add adds the peak of one task.
func (s *Sample) Add(peak resource.Size) {
	s.cpu.add(math.Log(float64(max(1, peak.MilliCPU))))
	s.memory.add(math.Log(float64(max(1, peak.MemoryMiB))))
}

// Forecast learns the sizes of one program's jobs, and the error of their declared sizes, from measurements. Its zero value is ready to use.
type Forecast struct {
	cpu, memory resourceModel
}

// resourceModel holds, for one resource, the logarithms of the measured sizes and of the ratios of declared to measured size.
type resourceModel struct {
	measured, declaredRatio moments
}

// Add adds the peak of a job's first measured task, with the job's declared size.
func (f *Forecast) Add(peak, declared resource.Size) {
	f.cpu.add(peak.MilliCPU, declared.MilliCPU)
	f.memory.add(peak.MemoryMiB, declared.MemoryMiB)
}

func (a *resourceModel) add(peak, declared int64) {
	if peak <= 0 || declared <= 0 {
		return
	}
	a.measured.add(math.Log(float64(peak)))
	a.declaredRatio.add(math.Log(float64(declared) / float64(peak)))
}

// Size returns the size to commit for a job's next task. Without measurements this is the declared size. Otherwise it combines the program's other jobs, the declared size and the job's own tasks, each weighted by the inverse of its variance.
func (f *Forecast) Size(declared resource.Size, job *Sample, c Caution) resource.Size {
	return resource.Size{
		MilliCPU:     f.cpu.predict(declared.MilliCPU, &job.cpu, c.CPU),
		MemoryMiB:    f.memory.predict(declared.MemoryMiB, &job.memory, c.Memory),
		Accelerators: declared.Accelerators,
	}
}

func (a *resourceModel) predict(declared int64, job *moments, caution float64) int64 {
	if declared <= 0 || a.measured.count == 0 && job.count == 0 {
		return declared
	}
	var e weightedMean
	e.add(math.Log(float64(declared))-a.declaredRatio.mean(), 1/a.declaredRatio.variance(declaredVariance))
	within := 0.0
	if a.measured.count > 0 {
		e.add(a.measured.mean(), 1/a.measured.variance(programVariance))
	}
	if job.count > 0 {
		within = job.variance(taskVariance)
		e.add(job.mean(), job.count/within)
	}
	return int64(math.Exp(e.sum/e.weight + caution*math.Sqrt(1/e.weight+within)))
}

// weightedMean is a mean weighted by the inverse of the variances.
type weightedMean struct {
	sum, weight float64
}

func (e *weightedMean) add(mean, weight float64) {
	e.sum += mean * weight
	e.weight += weight
}
