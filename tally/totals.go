package tally

import "daisyswitch/resource"

// ClassTotals counts the tasks of one class.
type ClassTotals struct {
	Class   string
	Queued  int64
	Running int64 // committed to a worker
}

// Totals counts workers, their resources and the tasks of each class in order of name.
type Totals struct {
	Workers     int64
	WorkersGone int64
	Capacity    resource.Size
	Committed   resource.Size
	Classes     []ClassTotals
}
