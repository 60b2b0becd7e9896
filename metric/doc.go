// Package metric serves a process's metrics, readiness and liveness to the platform on a separate listener.
package metric
