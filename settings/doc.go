// Package settings reads and validates the settings files of the processes, which are JSON with comments.
package settings
