package sizing

import (
	"math"

	"daisyswitch/resource"
)

// What is believed before the first measurement: that declared sizes are off by up to four times either way, that nothing is known of the program, and that tasks of a job differ little.
const (
	declaredVariance = 0.64 // of the logarithm of declared over measured
	programVariance  = 4    // of the logarithm of measured, between jobs
	taskVariance     = 0.04 // of the logarithm of measured, between tasks of a job
	priorCount       = 2
)

// Caution is how many standard deviations above the expected size are committed.
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

// Sample is the peaks of a job's tasks; its zero value has none.
type Sample struct {
	cpu, memory moments // of the logarithms
}

// Add takes the peak of one task.
func (s *Sample) Add(peak resource.Size) {
	s.cpu.add(math.Log(float64(max(1, peak.MilliCPU))))
	s.memory.add(math.Log(float64(max(1, peak.MemoryMiB))))
}

// Forecast learns from the jobs of one program how large they turn out, and how far their declared sizes are off; its zero value knows nothing.
type Forecast struct {
	cpu, memory amount
}

// amount is one resource: the logarithms of what was measured, and of declared over measured.
type amount struct {
	measured, mistaken moments
}

// Add takes the peak of a job's first measured task with its declared size.
func (f *Forecast) Add(peak, declared resource.Size) {
	f.cpu.add(peak.MilliCPU, declared.MilliCPU)
	f.memory.add(peak.MemoryMiB, declared.MemoryMiB)
}

func (a *amount) add(peak, declared int64) {
	if peak <= 0 || declared <= 0 {
		return
	}
	a.measured.add(math.Log(float64(peak)))
	a.mistaken.add(math.Log(float64(declared) / float64(peak)))
}

// Size returns the size to commit for a job's next task: its declared size while nothing is known, and after that what the program's other jobs, the declared size and the job's own tasks say, each weighed by how sure it is.
func (f *Forecast) Size(declared resource.Size, job *Sample, c Caution) resource.Size {
	return resource.Size{
		MilliCPU:     f.cpu.expect(declared.MilliCPU, &job.cpu, c.CPU),
		MemoryMiB:    f.memory.expect(declared.MemoryMiB, &job.memory, c.Memory),
		Accelerators: declared.Accelerators,
	}
}

func (a *amount) expect(declared int64, job *moments, caution float64) int64 {
	if declared <= 0 || a.measured.count == 0 && job.count == 0 {
		return declared
	}
	var e estimate
	e.weigh(math.Log(float64(declared))-a.mistaken.mean(), 1/a.mistaken.variance(declaredVariance))
	within := 0.0
	if a.measured.count > 0 {
		e.weigh(a.measured.mean(), 1/a.measured.variance(programVariance))
	}
	if job.count > 0 {
		within = job.variance(taskVariance)
		e.weigh(job.mean(), job.count/within)
	}
	return int64(math.Exp(e.sum/e.weight + caution*math.Sqrt(1/e.weight+within)))
}

// estimate is a mean weighed by certainty.
type estimate struct {
	sum, weight float64
}

func (e *estimate) weigh(mean, weight float64) {
	e.sum += mean * weight
	e.weight += weight
}
