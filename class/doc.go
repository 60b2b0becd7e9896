// Package class keeps what an entry knows of each class: its kind and target from the configuration, and the latency measured where its requests pass.
package class
