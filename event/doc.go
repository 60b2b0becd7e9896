// Package event numbers the log events of daisyswitch, so that operators can search and alert by number; docs/EVENTS.md is the catalogue.
package event
