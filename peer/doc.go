// Package peer holds a replica's connections to the other replicas of its group: a queue and one drpc connection at a time to each, replaced when it goes silent, and the streams that they send on. It speaks drpc to the same package in the other replicas; package replica says what to send and takes in what arrives.
package peer
