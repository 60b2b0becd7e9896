// Package dispatch is the leader's scheduler for called workers: it assigns waiting tasks to workers, commits the assignments, calls the workers and extends their leases.
//
// A start is sent only after it is committed. A task moves only after its run is known to have ended or the worker's lease is known to have expired.
package dispatch
