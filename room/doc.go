// Package room finds workers with enough free capacity for a task; only the scheduling policy uses it. A search costs the depth of a tree instead of the number of workers.
package room
