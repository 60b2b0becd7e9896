// Package lease is the leader's table of worker leases: what a worker's report means and what the worker is answered.
//
// Whoever uses it keeps to these rules, on which its safety rests:
// Lead comes first in a leadership, after all records of earlier leaders were applied, then SetWorker for every worker that the state knows;
// what state holds for a worker is read after Lead and after the report arrived;
// SetWorker, Lead and Expired are called from one goroutine, which waits for its proposals;
// and Answer is called after the outcome of Receive was committed, while a quorum confirmed this leader after the report arrived.
package lease
