// Package caller is the entry's front for callers: it forwards each request to an upstream and answers with the upstream's whole answer,
// or with a verdict that says whether the request may have run.
package caller
