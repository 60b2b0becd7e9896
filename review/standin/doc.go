// Command standin plays the cases of the review: it starts members and gateways as processes of their own, with stand-ins for executors, clients and the operator, and checks what those have seen.
package main
