// Package leader calls the leader of the control replicas, wherever it is.
package leader
