// Package pressure keeps services within their latency targets for the scheduling policy: it throttles batch beside them in steps, evicts batch when throttling is not enough, and lifts throttles once there is headroom. It also evicts batch from workers that are short of memory.
package pressure
