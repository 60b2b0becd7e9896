// Package refusal defines the error response that callers receive from the entry instead of an upstream's response:
// a verdict, a machine-readable code and a human-readable reason.
package refusal
