package fakeupstream

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Distribution is how long requests take: around a median, with a heavy tail.
type Distribution struct {
	Median      time.Duration
	TailPercent float64 // share of requests in the tail
	Tail        float64 // factor on the median there
}

// sampler draws service times.
type sampler struct {
	mu           sync.Mutex
	random       *rand.Rand
	distribution Distribution
}

func newSampler(d Distribution, seed uint64) *sampler {
	return &sampler{random: rand.New(rand.NewPCG(seed, seed)), distribution: d}
}

// next returns a time of half to one and a half medians, and in the tail an exponential one around the factor.
func (s *sampler) next() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	median := float64(s.distribution.Median)
	if s.random.Float64()*100 < s.distribution.TailPercent {
		return time.Duration(median * s.distribution.Tail * s.random.ExpFloat64())
	}
	return time.Duration(median * (0.5 + s.random.Float64()))
}
