// Package fakelink stands in for the network between failure domains: it forwards TCP connections and goes silent when told to, as a partition or a forgetful middlebox does.
package fakelink
