// Package admit validates jobs, workflows and announcements of workers before they enter the replicated state.
package admit
