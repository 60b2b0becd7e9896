// Package call holds what control says to a worker that it calls, and what the worker answers; package platform carries it.
package call
