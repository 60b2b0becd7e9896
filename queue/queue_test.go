package queue_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisyswitch/queue"

	"gotest.tools/v3/assert"
)

var (
	bids    = queue.Class{Name: "bids", Rank: 0, LatencyRatio: 1.5}
	watches = queue.Class{Name: "watches", Rank: 0, LatencyRatio: 0.5}
	lots    = queue.Class{Name: "lots", Rank: 1, LatencyRatio: 9}
)

// slotPool allocates a limited number of slots.
type slotPool struct{ free atomic.Int64 }

func (p *slotPool) take(string, []string) (slot int, free, absent bool) {
	if p.free.Add(-1) >= 0 {
		return 0, true, false
	}
	p.release()
	return 0, false, false
}

func (p *slotPool) release() { p.free.Add(1) }

// TestOrder queues requests of three classes and expects latency-critical classes first, among them the one farther above its target,
// and each class in order of arrival.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slotPool{}
		q := queue.New(queue.Options[int]{Take: p.take})
		var served []string
		for _, c := range []queue.Class{lots, watches, lots, bids, watches, bids} {
			go func() {
				_, err := q.Acquire(t.Context(), queue.Request{Class: c, Wait: time.Minute})
				assert.Check(t, err)
				served = append(served, c.Name)
			}()
			synctest.Wait()
		}
		for range 6 {
			p.release()
			q.Wake()
			synctest.Wait()
		}
		assert.DeepEqual(t, served, []string{"bids", "bids", "watches", "watches", "lots", "lots"})
	})
}

// TestNobodyOvertakes checks that a request that arrives while a slot is free does not overtake a waiter of its class.
func TestNobodyOvertakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slotPool{}
		q := queue.New(queue.Options[int]{Take: p.take})
		var served []int
		for i := range 2 {
			go func() {
				q.Acquire(t.Context(), queue.Request{Class: bids, Wait: time.Minute})
				served = append(served, i)
			}()
			synctest.Wait()
			if i == 0 {
				p.release()
			}
		}
		for _, want := range [][]int{{0}, {0, 1}} {
			q.Wake()
			synctest.Wait()
			assert.DeepEqual(t, served, want)
			p.release()
		}
	})
}

// TestEarlyRefusal sends 200 requests per second to a capacity of 100, each with a longest wait of 500 ms.
// Each request must be served in time or refused, and nearly all refusals must be immediate.
func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slotPool{}
		p.release()
		q := queue.New(queue.Options[int]{Take: p.take})
		var served, early, late int
		var mu sync.Mutex
		for range 2000 {
			go func() {
				began := time.Now()
				_, err := q.Acquire(t.Context(), queue.Request{Class: bids, Wait: 500 * time.Millisecond})
				mu.Lock()
				switch {
				case err == nil:
					served++
					assert.Check(t, time.Since(began) <= 500*time.Millisecond)
				case errors.Is(err, queue.ErrQueueTooLong):
					early++
					assert.Check(t, time.Since(began) == 0)
				default:
					late++
				}
				mu.Unlock()
				if err == nil {
					time.Sleep(10 * time.Millisecond)
					p.release()
					q.Wake()
				}
			}()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, served+early+late, 2000)
		assert.Assert(t, served >= 900, "%d", served)
		assert.Assert(t, late <= early/10, "%d late, %d early", late, early)
		assert.Equal(t, q.Waiting(), 0)
	})
}

// TestQuietLineRefusesNobody queues single requests at long intervals and then several at once.
// The long intervals must not be taken for a slow departure rate, by which the burst would be refused.
func TestQuietLineRefusesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slotPool{}
		q := queue.New(queue.Options[int]{Take: p.take})
		ask := func(n int) {
			for range n {
				go func() {
					_, err := q.Acquire(t.Context(), queue.Request{Class: bids, Wait: time.Second})
					assert.Check(t, err)
				}()
			}
			for range n {
				time.Sleep(time.Millisecond)
				p.release()
				q.Wake()
			}
		}
		for range 20 {
			ask(1)
			time.Sleep(900 * time.Millisecond)
		}
		ask(8)
	})
}

// TestGoneCallerLeavesNoSlotBehind cancels a waiting request before a slot is released, and expects the slot to stay free.
func TestGoneCallerLeavesNoSlotBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slotPool{}
		q := queue.New(queue.Options[int]{Take: p.take})
		ctx, cancel := context.WithCancel(t.Context())
		var err error
		go func() { _, err = q.Acquire(ctx, queue.Request{Class: bids, Wait: time.Minute}) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		assert.ErrorIs(t, err, queue.ErrCallerGone)
		p.release()
		q.Wake()
		assert.Equal(t, p.free.Load(), int64(1))
	})
}
