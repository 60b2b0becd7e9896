// Package upstream is what an entry knows of the upstreams: who announced itself, who is leaving, how busy each is, and the connections to it.
// It speaks to upstreams, which post announcements over HTTP, and shares what it hears with other entries through package neighbor.
package upstream
