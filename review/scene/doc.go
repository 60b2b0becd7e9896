// Command scene runs the cases of the third review: it starts the project's own members and gateways on loopback addresses beside stand-ins of the workers, the callers and the operator, and checks one rule.
package main
