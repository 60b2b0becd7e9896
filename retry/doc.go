// Package retry bounds retries to a share of recent requests.
package retry
