// Package promise checks the journals of workers, upstreams and callers against the guarantees of daisyswitch.
package promise
