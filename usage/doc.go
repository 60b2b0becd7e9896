// Package usage reads the lagged reports of workers for the policy: how large tasks are, what they cost each other, and how near services are to their targets.
package usage
