// Package inner implements the drpc transport between the processes of daisyswitch: connection pool, server, and verdicts in messages.
package inner
