// Package command is the command line of daisyswitch: the processes' roles, and the operators' commands, which speak to any entry.
package command
