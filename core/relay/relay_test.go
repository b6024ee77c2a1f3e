package relay_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/relay"
)

func members(strengths ...float64) []relay.Member {
	var out []relay.Member
	for i, s := range strengths {
		out = append(out, relay.Member{Address: fmt.Sprintf("10.0.0.%d:7000", i+1), Strength: s})
	}
	return out
}

// Guards against a zone whose orders go through two weak members because its strong ones
// are away.
func TestWeakMembersShareTheOrders(t *testing.T) {
	assert.Equal(t, relay.Enough(members(0.8, 0.8, 0.1, 0.1)), 2)
	assert.Equal(t, relay.Enough(members(0.8, 0.1, 0.1, 0.1)), 3)
	assert.Equal(t, relay.Enough(members(0.25, 0.25, 0.25, 0.25, 0.25, 0.25)), 4)
	assert.Equal(t, relay.Enough(members(0.1, 0.1)), 2)
	assert.Equal(t, relay.Enough(members(4)), 1)
	assert.Equal(t, relay.Enough(nil), 0)
}

func TestStrengthIsTheScarcerOfCoresAndLink(t *testing.T) {
	assert.Equal(t, relay.Strength(0.8, 200), 0.8)
	assert.Equal(t, relay.Strength(0.8, 10), 0.1)
	assert.Equal(t, relay.Strength(0.8, 0), 0.8)
}

// counts deals 10,000 VMs out.
func counts(relays []relay.Member) map[string]int {
	out := map[string]int{}
	for i := range 10_000 {
		out[relay.Of(relays, job.VMID(fmt.Sprintf("i-%05d", i)))]++
	}
	return out
}

func TestOrdersGoByStrength(t *testing.T) {
	relays := members(0.8, 0.1, 0.1)
	n := counts(relays)
	assert.Assert(t, n[relays[0].Address] > 7800 && n[relays[0].Address] < 8200, "%v", n)
	assert.Assert(t, n[relays[1].Address] > 850 && n[relays[1].Address] < 1150, "%v", n)
	assert.Equal(t, relay.Of(nil, "i-1"), "")
}

// Guards against orders for all VMs that change their way when one relay is lost.
func TestLossMovesTheLostRelaysOrdersOnly(t *testing.T) {
	relays := members(0.8, 0.3, 0.3, 0.1)
	left := append(relays[:1:1], relays[2:]...)
	for i := range 1000 {
		id := job.VMID(fmt.Sprintf("i-%05d", i))
		if was := relay.Of(relays, id); was != relays[1].Address {
			assert.Equal(t, relay.Of(left, id), was)
		}
	}
}

// lateStarts plays four seconds of a burst over links of 10 Mbit/s and counts the starts that
// aren't answered within 150 ms: the owner takes them for lost and orders them again. Each
// start, with the report of its end, is 2.4 KB.
func lateStarts(relays []relay.Member, perSecond int) int {
	const startBits, linkBits = 2400 * 8, 10e6
	free := map[string]float64{}
	late := 0
	for i := range 4 * perSecond {
		at := float64(i) / float64(perSecond)
		address := relay.Of(relays, job.VMID(fmt.Sprintf("i-%04d", i%117)))
		free[address] = max(free[address], at) + startBits/linkBits
		if free[address]-at > 0.15 {
			late++
		}
	}
	return late
}

// Guards against a burst that chokes the relays of a zone whose strong members are away.
func TestBurstOverWeakRelays(t *testing.T) {
	const perSecond = 1700
	weak := relay.Strength(0.2, 10)
	zone := members(weak, weak, weak, weak, weak, weak, weak, weak, weak, weak, weak)
	assert.Equal(t, lateStarts(zone[:relay.Enough(zone)], perSecond), 0)
	assert.Assert(t, lateStarts(zone[:2], perSecond) > perSecond, "two of them would do")
}
