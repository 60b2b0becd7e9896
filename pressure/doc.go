// Package pressure keeps services within their targets for the policy: it slows batch beside them in steps, evicts it when that is not enough, and gives back what it took.
package pressure
