// Package class keeps an entry's state for each class: its kind and target from the configuration, and the latency of its requests measured at this entry.
package class
