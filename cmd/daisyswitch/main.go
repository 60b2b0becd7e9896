// Command daisyswitch runs the roles of the scheduler and the operators' commands.
package main

import (
	"os"

	"daisyswitch/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
