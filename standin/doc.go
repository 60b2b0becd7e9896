// Package standin holds what the stand-ins for workers, upstreams and callers share: journals of what really happened, and the list of entries that they try in turn.
package standin
