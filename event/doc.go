// Package event defines the numbered log events of daisyswitch, by which operators can search and alert. docs/EVENTS.md is the catalogue.
package event
