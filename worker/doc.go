// Package worker defines the JSON polling protocol of workers and serves it in an entry process.
package worker
