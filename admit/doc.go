// Package admit checks what jobs and workers say of themselves before the state takes them in.
package admit
