// Package upstream implements an entry's registry of upstreams: their announcements, whether they are leaving, their load, and the connections to them.
// Upstreams post announcements over HTTP; entries share them through package neighbor.
package upstream
