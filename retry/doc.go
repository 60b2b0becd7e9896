// Package retry limits retries to a percentage of recent requests.
package retry
