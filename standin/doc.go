// Package standin holds what the simulated workers, upstreams and callers share: journals of the effects that occurred, and a client that fails over between entries.
package standin
