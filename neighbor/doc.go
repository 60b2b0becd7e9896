// Package neighbor keeps entries in step with each other: configuration, upstream announcements and loads, also while control cannot be reached.
package neighbor
