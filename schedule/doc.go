// Package schedule is the control leader's scheduling loop: it tells the policy what has happened, commits what it decides, and takes tasks from workers whose leases have ended.
package schedule
