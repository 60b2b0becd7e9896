// Package ingress bounds what clients that the deployment does not control can cost a process: open connections, bytes held for request heads and bodies, and the memory for decoding them.
// A request that it refuses has not reached the handler, so that "has not run" is true.
package ingress
