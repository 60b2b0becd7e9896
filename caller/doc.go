// Package caller serves callers at an entry: it forwards each request to an upstream and returns the upstream's complete response,
// or a refusal with a verdict that says whether the request may have run.
package caller
