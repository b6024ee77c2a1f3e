// Package relay decides which entry VMs carry the owner's orders to VMs, and which of
// them carries those for a given VM.
package relay

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"lavenderpond/core/job"
)

// Candidate is an entry VM that may carry orders.
type Candidate struct {
	Address string
	// Strength is what it can carry, against an entry VM of one core.
	Capacity float64
}

const (
	// minRelaysPerZone is how many relays a zone has at least: with one, its loss would make
	// all VMs of the zone silent.
	minRelaysPerZone = 2
	// minZoneCapacity is the strength that the relays of a zone have together. A relay that
	// falls behind answers too late: the owner takes its starts for lost, and orders them
	// again over the same relay.
	minZoneCapacity = 1.0
	// linkMbpsPerCore is the link in Mbit/s that carries as many orders as one core does.
	linkMbpsPerCore = 100.0
)

// Strength returns the strength of an entry VM with so many cores and a link of so many
// Mbit/s; 0 stands for a link that isn't known.
func Capacity(cores, linkMbps float64) float64 {
	if linkMbps <= 0 {
		return cores
	}
	return min(cores, linkMbps/linkMbpsPerCore)
}

// SortByCapacity orders members by strength, the strongest first.
func SortByCapacity(candidates []Candidate) {
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(b.Capacity, a.Capacity) })
}

// CountNeeded returns how many of the members, from the first on, a zone needs as relays.
func CountNeeded(candidates []Candidate) int {
	total := 0.0
	for i, c := range candidates {
		if i >= minRelaysPerZone && total >= minZoneCapacity {
			return i
		}
		total += c.Capacity
	}
	return len(candidates)
}

// Select returns the address of the relay that carries the orders for a VM, or none. Each
// relay gets VMs in proportion to its strength, and keeps them when another one goes.
func Select(relays []Candidate, id job.VMID) string {
	best, bestScore := "", math.Inf(-1)
	for _, r := range relays {
		if score := math.Log(unitHash(r.Address, id)) / max(r.Capacity, minCapacity); score > bestScore {
			best, bestScore = r.Address, score
		}
	}
	return best
}

// minCapacity keeps members without a known strength among the relays.
const minCapacity = 0.01

// unitHash returns a number between 0 and 1 that is fixed for the pair.
func unitHash(address string, id job.VMID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // A hash never fails.
	_, _ = h.Write([]byte(id))
	return (float64(mixBits(h.Sum64())>>11) + 0.5) / (1 << 53)
}

// mixBits spreads the bits of a hash whose inputs differ in their last bytes only.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
