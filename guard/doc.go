// Package guard inspects the bytes on callers' connections for request framing that net/http hides from handlers,
// and adds a verdict to the errors that net/http sends itself.
package guard
