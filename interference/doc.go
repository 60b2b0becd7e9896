// Package interference learns from lagged, noisy measurements how much programs that share a worker slow each other. Only the scheduling policy uses it.
package interference
