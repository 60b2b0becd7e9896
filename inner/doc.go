// Package inner carries drpc calls between the processes of daisyswitch: connections, listeners, and the way to control's leader.
package inner
