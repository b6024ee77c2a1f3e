package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two fleets that run at the same time and share an address. The daemons of one
// would answer the callers of the other, and its VMs would run tasks that none of its callers
// submitted.
func TestAddressesAreAllocatedOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		a, err := freeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[a.String()], "%s", a)
		seen[a.String()] = true
	}
}
