package share_test

import (
	"fmt"
	"testing"
	"time"

	"daisyswitch/share"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestNothingIsRefusedWhileThereIsCapacity guards against a limit on what a workspace sends while nothing waits, and against a refusal right after, for what it is entitled to.
func TestNothingIsRefusedWhileThereIsCapacity(t *testing.T) {
	a := share.NewAdmission()
	for i := range 10_000 {
		_, ok := a.Admit(time.Duration(i)*time.Millisecond, "a", 2, fmt.Sprint(i), false)
		assert.Assert(t, ok)
	}
	for i := range 20 {
		now := 11*time.Second + time.Duration(i)*500*time.Millisecond
		_, ok := a.Admit(now, "a", 2, fmt.Sprint("full", i), true)
		assert.Assert(t, ok, "workflow %d of 2 a second that the workspace is entitled to", i)
		_, ok = a.Admit(now, "b", 2, fmt.Sprint("full", i), true)
		assert.Assert(t, ok, "the bucket of one workspace counts for another")
	}
}

// TestRefusalIsTrue guards against a refusal as not run of a workflow whose record may be on its way, since its first submission was admitted.
func TestRefusalIsTrue(t *testing.T) {
	a := share.NewAdmission()
	for i := range 100 {
		_, first := a.Admit(0, "a", 2, fmt.Sprint(i), true)
		_, again := a.Admit(3*time.Second, "a", 2, fmt.Sprint(i), true)
		assert.Assert(t, again || !first, "workflow %d is refused after it was admitted", i)
	}
}

// TestWorkspaceWithoutWeight guards against a time to return that cannot be computed, and a burst for a workspace that is entitled to nothing.
func TestWorkspaceWithoutWeight(t *testing.T) {
	a := share.NewAdmission()
	retryAfter, ok := a.Admit(0, "a", 0, "one", true)
	assert.Assert(t, !ok && retryAfter >= time.Minute && retryAfter <= 2*time.Minute, "%v", retryAfter)
	_, ok = a.Admit(0, "a", 0, "one", false)
	assert.Assert(t, ok)
}

// TestAdmissionOfAFullPool checks under drawn loads that a workspace gets what it is entitled to and not much more, that a caller who returns at the given time is admitted, and that few return at a time.
func TestAdmissionOfAFullPool(t *testing.T) {
	const length, horizon = 90 * time.Second, time.Minute
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.1, 30).Draw(t, "weight")
		perSecond := weight * rapid.Float64Range(1.1, 8).Draw(t, "overload")
		patient := rapid.IntRange(0, 100).Draw(t, "percent of callers that return")
		a, sent, admitted := share.NewAdmission(), 0, 0
		returning, returnsAt := map[time.Duration][]string{}, map[time.Duration]int{}
		for now := time.Duration(0); now < length; now += 100 * time.Millisecond {
			for _, id := range returning[now] {
				if _, ok := a.Admit(now, "a", weight, id, true); !ok {
					t.Fatalf("%v: %s returned when it was told to and is refused", now, id)
				}
				admitted++
			}
			for float64(sent) < perSecond*now.Seconds() {
				sent++
				id := fmt.Sprint(sent)
				retryAfter, ok := a.Admit(now, "a", weight, id, true)
				if ok {
					admitted++
					continue
				}
				if retryAfter <= 0 || retryAfter > 2*horizon {
					t.Fatalf("%v: a time to return of %v", now, retryAfter)
				}
				rounded := (retryAfter + time.Second - 1).Truncate(time.Second)
				returnsAt[(now+retryAfter).Truncate(time.Second)]++
				if sent%100 < patient && retryAfter < horizon {
					returning[now+rounded] = append(returning[now+rounded], id)
				}
			}
		}
		entitled := weight * length.Seconds()
		if float64(admitted) < 0.9*entitled-1 || float64(admitted) > entitled+max(2, 5*weight)+2*weight+1 {
			t.Fatalf("%d workflows admitted of %d, entitled are %.1f and a burst", admitted, sent, entitled)
		}
		for second, count := range returnsAt {
			if second < horizon && float64(count) > 2*weight+2 {
				t.Fatalf("%d callers are told to return in the second after %v", count, second)
			}
		}
	})
}
