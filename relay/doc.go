// Package relay sends a leader's calls to workers through the other members when there are more workers than the leader's own connections suffice for.
package relay
