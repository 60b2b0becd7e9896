package tally

import "daisyswitch/resource"

// ClassTotals counts the tasks of one class.
type ClassTotals struct {
	Class   string
	Queued  int64
	Running int64 // tasks committed to a worker
}

// Totals holds the numbers of workers, their total resources, and the task counts of each class, sorted by name.
type Totals struct {
	Workers     int64
	WorkersGone int64
	Capacity    resource.Size
	Committed   resource.Size
	Classes     []ClassTotals
}
