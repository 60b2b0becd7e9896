// Package lease implements the leader's table of worker leases, which evaluates workers' reports and builds the replies.
//
// Its safety depends on these rules for the caller:
//   - A term of leadership starts with Lead, after all records of earlier leaders have been applied. SetWorker follows for every worker in the state.
//   - The attempts that the state holds for a worker are read after Lead and after the report arrived.
//   - SetWorker, Lead and Expired are called from one goroutine, which waits for its proposals.
//   - Answer is called after the outcome of Receive was committed and after a quorum confirmed this leader, both after the report arrived.
package lease
