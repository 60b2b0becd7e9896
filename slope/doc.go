// Package slope measures what each role costs at several sizes, fits straight lines, and works out the cost at the size to design for; it speaks to no other process.
package slope
