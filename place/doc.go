// Package place is the policy: it decides which task starts on which worker, and which is throttled, evicted or resized, and speaks to the control leader's scheduling loop alone.
package place
