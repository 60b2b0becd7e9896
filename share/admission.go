package share

import (
	"math"
	"time"
)

// Times and limits of admission.
const (
	burst          = 5 * time.Second  // of its weight that a workspace may send at once; arrivals of a second or two vary that much
	returnWindow   = 5 * time.Second  // after its time to return, in which a refused workflow is admitted; callers wait whole seconds
	returnHorizon  = time.Minute      // within which times to return are kept; work is worth nothing after that
	admittedMemory = 30 * time.Second // in which an admitted workflow is admitted again; its record may still be on its way, so that a refusal as not run could be untrue
	maxRemembered  = 20_000           // workflows of one workspace, of some 100 bytes each
)

// Admission decides which workflows of workspaces to accept while their pool is full. A workspace is entitled to its weight in workflows a second.
type Admission struct {
	buckets map[string]*bucket // by workspace
}

// bucket is the token bucket of a workspace.
type bucket struct {
	tokens     float64
	updated    time.Duration
	nextReturn time.Duration            // the latest time to return within the horizon that was given
	beyond     int                      // workflows whose time to return was beyond the horizon
	returns    map[string]time.Duration // by workflow, when a refused one is admitted
	admitted   map[string]time.Duration // by workflow, when it was admitted
	nextPrune  time.Duration
}

// NewAdmission returns an Admission with full buckets.
func NewAdmission() *Admission {
	return &Admission{buckets: map[string]*bucket{}}
}

// Admit decides on a workflow of a workspace. While the pool is not full, it admits everything. It returns how long a refused workflow has to wait: if it is sent again then, it is admitted. These times are as far apart as the workspace is entitled to, so that its callers do not return together.
func (a *Admission) Admit(now time.Duration, workspace string, weight float64, id string, full bool) (retryAfter time.Duration, ok bool) {
	b := a.buckets[workspace]
	if b == nil {
		b = &bucket{tokens: capacityOf(weight), updated: now, returns: map[string]time.Duration{}, admitted: map[string]time.Duration{}}
		a.buckets[workspace] = b
	}
	b.refill(now, weight)
	b.prune(now)
	if _, again := b.admitted[id]; again {
		return 0, true
	}
	at, refused := b.returns[id]
	switch {
	case refused && now >= at:
		b.tokens = max(b.tokens-1, -capacityOf(weight))
	case b.tokens >= 1 || !full:
		b.tokens = max(b.tokens-1, min(b.tokens, 0))
	case refused:
		return at - now, false
	default:
		return b.refuse(now, weight, id), false
	}
	delete(b.returns, id)
	if len(b.admitted) < maxRemembered {
		b.admitted[id] = now
	}
	return 0, true
}

// capacityOf returns the most tokens of a bucket, at least two so that a small weight loses little between two workflows.
func capacityOf(weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return max(2, weight*burst.Seconds())
}

func (b *bucket) refill(now time.Duration, weight float64) {
	b.tokens = min(capacityOf(weight), b.tokens+max(0, now-b.updated).Seconds()*weight)
	b.updated = max(b.updated, now)
}

// refuse gives a workflow its time to return: that of the next token that no other one was given. Beyond the horizon, workflows are spread over as long a time again and are not certain to be admitted then.
func (b *bucket) refuse(now time.Duration, weight float64, id string) time.Duration {
	if weight > 0 && len(b.returns) < maxRemembered {
		at := max(now+time.Millisecond, now+seconds((1-b.tokens)/weight), b.nextReturn+seconds(1/weight))
		if at < now+returnHorizon {
			b.nextReturn, b.returns[id] = at, at
			return at - now
		}
	}
	b.beyond++
	_, spread := math.Modf(float64(b.beyond) * math.Phi)
	return returnHorizon + time.Duration(spread*float64(returnHorizon))
}

// seconds returns a number of seconds, up to the horizon, as a duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, returnHorizon.Seconds()) * float64(time.Second))
}

// prune forgets workflows whose times have passed, once a second.
func (b *bucket) prune(now time.Duration) {
	if now < b.nextPrune {
		return
	}
	b.nextPrune = now + time.Second
	for id, at := range b.returns {
		if now > at+returnWindow {
			delete(b.returns, id)
		}
	}
	for id, at := range b.admitted {
		if now > at+admittedMemory {
			delete(b.admitted, id)
		}
	}
}
