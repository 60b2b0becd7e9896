// Command standin runs simulated workers, upstreams and callers for tests, and checks their journals against the promises of the scheduler.
package main
