// Package schedule is the control leader's scheduling loop. It passes changes to the policy, commits the policy's decisions, and marks workers whose leases have expired as gone.
package schedule
