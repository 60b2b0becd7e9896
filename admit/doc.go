// Package admit validates jobs and announcements of workers before they enter the replicated state.
package admit
