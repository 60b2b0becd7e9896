// Package leader finds the leader among the control replicas and calls it, following redirects.
package leader
