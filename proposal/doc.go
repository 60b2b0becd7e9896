// Package proposal holds records on their way into the log, each either taken by the loop that appends it or withdrawn by the caller that waits for it; it performs no I/O: package replica appends and answers them.
package proposal
