// Package blame decides whether failures are caused by the worker or by the job. A worker is judged by the number of distinct jobs that fail on it, and a job by the number of distinct workers that it fails on, so that neither is penalized for the other's faults. Only the scheduling policy uses it.
package blame
