// Package measure keeps what entries have said lately of their callers and of themselves, for status; all of it may be lost with the leader.
package measure
