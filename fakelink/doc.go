// Package fakelink stands in for the network between failure domains: it forwards TCP connections and holds, delays, forgets or resets them when told to, as a partition, a full line or a forgetful middlebox does.
package fakelink
