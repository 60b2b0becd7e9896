// Package simulation compares load-balancing policies in virtual time, among them the policy of package pick that entries run.
// No process uses it. The choice of policy in docs/design/03-requests.md is based on its results, and it can be used to size an installation.
package simulation
