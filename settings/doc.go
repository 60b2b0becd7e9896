// Package settings reads and checks the settings files of the processes, JSON with comments.
package settings
