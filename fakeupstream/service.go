package fakeupstream

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Distribution describes the service times of requests: spread around a median, with a heavy tail.
type Distribution struct {
	Median      time.Duration
	TailPercent float64 // percentage of requests in the tail
	Tail        float64 // mean service time in the tail, as a multiple of the median
}

// sampler draws random service times.
type sampler struct {
	mu           sync.Mutex
	random       *rand.Rand
	distribution Distribution
}

func newSampler(d Distribution, seed uint64) *sampler {
	return &sampler{random: rand.New(rand.NewPCG(seed, seed)), distribution: d}
}

// next returns a service time between 0.5 and 1.5 medians, or in the tail an exponentially distributed one with a mean of Tail medians.
func (s *sampler) next() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	median := float64(s.distribution.Median)
	if s.random.Float64()*100 < s.distribution.TailPercent {
		return time.Duration(median * s.distribution.Tail * s.random.ExpFloat64())
	}
	return time.Duration(median * (0.5 + s.random.Float64()))
}
