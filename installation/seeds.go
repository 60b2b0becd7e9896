package installation

import (
	"net/netip"

	"daisyswitch/settings"

	"github.com/cespare/xxhash/v2"
)

// seedReplicas returns the drpc addresses of the control processes listed in seeds, by replica ID.
func seedReplicas(seeds []settings.Seed, inner string) map[uint64]string {
	replicas := map[uint64]string{}
	for _, address := range innerAddresses(seeds, inner) {
		replicas[replicaID(address)] = address
	}
	return replicas
}

// replicaID derives a replica's ID from its drpc address. An ID must never be reused with another disk.
func replicaID(address string) uint64 {
	return xxhash.Sum64String(address) | 1
}

// innerAddresses returns the drpc addresses of the control processes listed in seeds: the seeds' IPs with the port of inner, which is the same on all instances.
func innerAddresses(seeds []settings.Seed, inner string) []string {
	port := netip.MustParseAddrPort(inner).Port()
	var all []string
	for _, seed := range seeds {
		address := netip.MustParseAddrPort(seed.Address).Addr()
		all = append(all, netip.AddrPortFrom(address, port).String())
	}
	return all
}
