// Package serial runs tasks one after the other, so that whoever hands them over never waits for one; it speaks to no one: package replica applies records and answers reads by it.
package serial
