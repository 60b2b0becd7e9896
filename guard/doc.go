// Package guard watches the bytes on callers' connections for what net/http hides from a handler, and gives net/http's own refusals a verdict.
package guard
