// Package fakelink simulates the network between failure domains. It forwards TCP connections and can hold, delay, blackhole or reset them, as a partition, a congested link or a middlebox that loses its connection state does.
package fakelink
