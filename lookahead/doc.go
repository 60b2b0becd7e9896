// Package lookahead decides which capacity to keep for large tasks that found none: it learns run times, predicts when a worker will have enough capacity, and holds reservations. It reads no clock and calls nothing.
//
// A reservation starts at the time by which the runs on its worker will likely have released enough. Until then, other work may use the reserved capacity if it will likely have ended by the start.
// A prediction that is too early costs the reserved task, which waits longer; the capacity that is withheld for it meanwhile is bounded by the work of the task itself.
package lookahead
