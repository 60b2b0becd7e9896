// Package dispatch is the leader's part for called workers: it decides which waiting task starts where, has it committed, and then calls the worker, whose lease it keeps.
//
// A start is sent only once it is committed, and a task moves only once its run is known to have ended or the worker's lease has surely ended.
package dispatch
