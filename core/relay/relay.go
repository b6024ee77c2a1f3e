// Package relay selects the entry VMs that relay the owner's orders to VMs, and the
// relay that is used for a given VM.
package relay

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"lavenderpond/core/job"
)

// Candidate is an entry VM that can relay orders.
type Candidate struct {
	Address string
	// Capacity is the rate of orders that the entry VM can relay, relative to an entry VM
	// with one core.
	Capacity float64
}

const (
	// minRelaysPerZone is the minimum number of relays in a zone. With a single relay, its
	// loss would make all VMs of the zone unreachable.
	minRelaysPerZone = 2
	// minZoneCapacity is the minimum total capacity of the relays of a zone. An overloaded
	// relay answers too late: the owner assumes that its task starts are lost and sends them
	// again through the same relay.
	minZoneCapacity = 1.0
	// vmsPerCapacity is the number of VMs whose orders a capacity of 1 relays.
	vmsPerCapacity = 1000
	// linkMbpsPerCore is the network bandwidth in Mbit/s that carries as many orders as one
	// core can process.
	linkMbpsPerCore = 100.0
)

// Capacity returns the relay capacity of an entry VM with the given number of cores and
// network bandwidth in Mbit/s. A bandwidth of 0 means that it is unknown.
func Capacity(cores, linkMbps float64) float64 {
	if linkMbps <= 0 {
		return cores
	}
	return min(cores, linkMbps/linkMbpsPerCore)
}

// SortByCapacity sorts candidates by descending capacity.
func SortByCapacity(candidates []Candidate) {
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(b.Capacity, a.Capacity) })
}

// CountNeeded returns how many of the candidates, beginning with the first, a zone with the given
// number of VMs needs as relays.
func CountNeeded(candidates []Candidate, vms int) int {
	needed := max(minZoneCapacity, float64(vms)/vmsPerCapacity)
	total := 0.0
	for i, c := range candidates {
		if i >= minRelaysPerZone && total >= needed {
			return i
		}
		total += c.Capacity
	}
	return len(candidates)
}

// Select returns the address of the relay for a VM, or an empty string if there are no
// relays. It uses weighted rendezvous hashing: each relay serves a number of VMs in
// proportion to its capacity and keeps them when another relay is lost.
func Select(relays []Candidate, id job.VMID) string {
	best, bestScore := "", math.Inf(-1)
	for _, r := range relays {
		if score := math.Log(unitHash(r.Address, id)) / max(r.Capacity, minCapacity); score > bestScore {
			best, bestScore = r.Address, score
		}
	}
	return best
}

// minCapacity is the capacity assumed of relays whose capacity is unknown, so that they
// remain in use.
const minCapacity = 0.01

// unitHash returns a deterministic hash of the pair as a number between 0 and 1.
func unitHash(address string, id job.VMID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return (float64(mixBits(h.Sum64())>>11) + 0.5) / (1 << 53)
}

// mixBits distributes the bits of a hash whose inputs differ only in their last bytes.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
