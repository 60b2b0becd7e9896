// Package fakepath stands in for upstreams at the end of in-memory connections, which can lose track of those that are open;
// it serves tests in virtual time, as package fakelink does tests on sockets.
package fakepath
