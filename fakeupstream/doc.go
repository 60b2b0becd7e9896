// Package fakeupstream implements a simulated upstream. It announces itself to the entries of its failure domain, serves requests with a limited number of slots and connections, and injects faults on request.
package fakeupstream
