// Command rig plays the cases of a review that do not fit a day of the users' bench: it starts members and gateways as separate processes on loopback addresses and meets them with stand-ins for executors, an operator and callers.
package main
