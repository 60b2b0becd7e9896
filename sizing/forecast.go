package sizing

import (
	"math"

	"daisyswitch/resource"
)

// What is believed before the first measurement: that declared sizes are off by up to four times either way, and that nothing is known of the program.
const (
	declaredVariance = 0.64 // of the logarithm of declared over measured
	programVariance  = 4    // of the logarithm of measured
	priorCount       = 2
)

// Caution is how many standard deviations above the expected size are committed.
type Caution struct {
	CPU, Memory float64
}

// Forecast learns from the jobs of one program how large they turn out, and how far their declared sizes are off; its zero value knows nothing.
type Forecast struct {
	cpu, memory amount
}

// amount is one resource: the logarithms of what was measured, and of declared over measured.
type amount struct {
	measured, mistaken moments
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

// Add takes the peak of a job with its declared size.
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

// Size returns the size to commit for a job that was not measured yet: its declared size while nothing is known, and after that what the program's other jobs and the declared size say, each weighed by how sure it was so far.
func (f *Forecast) Size(declared resource.Size, c Caution) resource.Size {
	return resource.Size{
		MilliCPU:     f.cpu.expect(declared.MilliCPU, c.CPU),
		MemoryMiB:    f.memory.expect(declared.MemoryMiB, c.Memory),
		Accelerators: declared.Accelerators,
	}
}

func (a *amount) expect(declared int64, caution float64) int64 {
	if a.measured.count == 0 || declared <= 0 {
		return declared
	}
	byProgram := a.measured.variance(programVariance)
	byDeclared := a.mistaken.variance(declaredVariance)
	corrected := math.Log(float64(declared)) - a.mistaken.mean()
	expected := (a.measured.mean()*byDeclared + corrected*byProgram) / (byDeclared + byProgram)
	deviation := math.Sqrt(byProgram * byDeclared / (byProgram + byDeclared))
	return int64(math.Exp(expected + caution*deviation))
}
