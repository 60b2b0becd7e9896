// Package verdict says of a request that got no answer whether it may have run.
package verdict
