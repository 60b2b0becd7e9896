// Package place is the scheduling policy: it decides which task starts on which worker, and which tasks are throttled, evicted or resized. It has no I/O; only the control leader's scheduling loop calls it.
package place
