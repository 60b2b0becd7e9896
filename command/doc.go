// Package command implements the command line of daisyswitch: the roles that a process can run, and the operators' commands, which send requests to any entry.
package command
