// Package progress holds what a leader knows of its followers: how far their logs match its own, what it sent before earlier entries were acknowledged, and what a quorum of them has reached. It performs no I/O: package raft sends the messages and passes the replies on to it.
package progress
