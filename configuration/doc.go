// Package configuration checks and applies operators' changes to classes, teams and failure domains.
package configuration
