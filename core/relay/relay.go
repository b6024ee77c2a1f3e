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

// Member is an entry VM that may carry orders.
type Member struct {
	Address string
	// Strength is what it can carry, against an entry VM of one core.
	Strength float64
}

const (
	// relaysLeast is how many relays a zone has at least: with one, its loss would make
	// all VMs of the zone silent.
	relaysLeast = 2
	// zoneStrength is the strength that the relays of a zone have together. A relay that
	// falls behind answers too late: the owner takes its starts for lost, and orders them
	// again over the same relay.
	zoneStrength = 1.0
	// linkPerCore is the link in Mbit/s that carries as many orders as one core does.
	linkPerCore = 100.0
)

// Strength returns the strength of an entry VM with so many cores and a link of so many
// Mbit/s; 0 stands for a link that isn't known.
func Strength(cores, linkMbps float64) float64 {
	if linkMbps <= 0 {
		return cores
	}
	return min(cores, linkMbps/linkPerCore)
}

// Sort orders members by strength, the strongest first.
func Sort(members []Member) {
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(b.Strength, a.Strength) })
}

// Enough returns how many of the members, from the first on, a zone needs as relays.
func Enough(members []Member) int {
	sum := 0.0
	for i, m := range members {
		if i >= relaysLeast && sum >= zoneStrength {
			return i
		}
		sum += m.Strength
	}
	return len(members)
}

// Of returns the address of the relay that carries the orders for a VM, or none. Each
// relay gets VMs in proportion to its strength, and keeps them when another one goes.
func Of(relays []Member, id job.VMID) string {
	best, bestScore := "", math.Inf(-1)
	for _, m := range relays {
		if score := math.Log(share(m.Address, id)) / max(m.Strength, leastStrength); score > bestScore {
			best, bestScore = m.Address, score
		}
	}
	return best
}

// leastStrength keeps members without a known strength among the relays.
const leastStrength = 0.01

// share returns a number between 0 and 1 that is fixed for the pair.
func share(address string, id job.VMID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // A hash never fails.
	_, _ = h.Write([]byte(id))
	return (float64(mix(h.Sum64())>>11) + 0.5) / (1 << 53)
}

// mix spreads the bits of a hash whose inputs differ in their last bytes only.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
