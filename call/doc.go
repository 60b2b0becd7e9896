// Package call defines the requests that control sends to a called worker and the worker's responses. Package platform transports them.
package call
