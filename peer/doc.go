// Package peer manages a replica's connections to the other replicas of its group. For each it has a send queue, one outgoing drpc connection, which is replaced when it stalls, and the incoming stream. Both ends of a connection use this package; package replica decides what to send and processes received messages.
package peer
