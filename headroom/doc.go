// Package headroom learns how near filling tasks bring the tasks beside them to their tail latencies, for the dispatch of called workers alone.
//
// Headroom is the target over the measured tail: below 1 a task misses its target. Beside filling tasks it falls by a cost for each pair of images, times the share of the worker that the filling task uses; see docs/design/08-platform.md.
package headroom
