// Package fakeupstream stands in for an upstream: it announces itself to the entries of its failure domain, serves requests in a few slots over a bounded number of connections, and misbehaves when told to.
package fakeupstream
