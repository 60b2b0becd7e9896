// Package progress holds what a leader knows of its followers: how far their logs agree with its own, what it sent ahead of their answers, and what a quorum of them has reached. It speaks to no one: package raft sends, and tells it of the answers.
package progress
