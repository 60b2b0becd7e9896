// Package preempt chooses the lasting tasks that give their room to tasks that end, so that work that is never done does not starve work that is. Its functions are pure: they use no clock, locks or I/O.
package preempt
