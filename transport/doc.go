// Package transport carries requests to one upstream over HTTP/1.1 connections that the entry fully controls.
// It exists because net/http's client replays some requests by itself: here a request is written at most once, and what was written is counted.
package transport
