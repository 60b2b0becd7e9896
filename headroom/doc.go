// Package headroom estimates how much filling tasks reduce the latency headroom of serving tasks on the same worker. Only the dispatch of called workers uses it.
//
// Headroom is the target latency divided by the measured tail latency: below 1 a task misses its target. Each filling task reduces it by a cost of the pair of images, multiplied by the share of the worker that the filling task uses. See docs/design/08-platform.md.
package headroom
