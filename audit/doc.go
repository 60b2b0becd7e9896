// Package audit keeps the trail of operators' changes, accepted and refused, that people read.
package audit
