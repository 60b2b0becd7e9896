// Package fakepath implements simulated upstreams behind in-memory connections. Open connections can be made silent,
// as by a middlebox that loses its connection state. It serves tests in virtual time; package fakelink does the same on sockets.
package fakepath
