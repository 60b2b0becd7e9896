// Package installation assembles the processes that run on the users' platform: members and gateways with their fronts, found through seeds in a settings file that may change while they run.
package installation
