// Package promise holds what workers, upstreams and callers wrote down against what daisyswitch must always hold.
package promise
