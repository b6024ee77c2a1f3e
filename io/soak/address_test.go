package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two fleets side by side that share an address: one's daemons then answer
// the other's callers, and its VMs run tasks that nobody handed in there.
func TestAddressesAreHandedOutOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		a, err := freeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[a.String()], "%s", a)
		seen[a.String()] = true
	}
}
