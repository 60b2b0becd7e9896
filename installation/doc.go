// Package installation assembles the processes that run on the users' platform: members and gateways with their HTTP servers. They find control through the seeds in a settings file, which may change while they run.
package installation
