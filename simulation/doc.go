// Package simulation compares ways of picking upstreams in virtual time, with the product's own decisions from package pick among them.
// No process uses it: it is what the choice in docs/design/03-requests.md rests on, and can size an installation.
package simulation
