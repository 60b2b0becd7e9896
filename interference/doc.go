// Package interference learns how much programs that share a worker slow each other, for the policy alone, from measurements that lag and are noisy.
package interference
