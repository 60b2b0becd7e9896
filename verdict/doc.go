// Package verdict describes whether a request without a successful response may have run.
package verdict
