// Command standin runs stand-ins for workers, upstreams and callers, and checks what they wrote down against the promises.
package main
