// Package transport sends requests to one upstream over a pool of HTTP/1.1 connections.
// It replaces net/http's client, which replays some requests on its own: here a request is written at most once, and the bytes written are counted.
package transport
