package soak

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core/policy"
	"lavenderpond/io/ini"
)

// Guards against a full policy that leaves out a decision.
func TestFullPolicyEnablesAllDecisions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "policy.ini")
	assert.NilError(t, os.WriteFile(path, []byte(FullPolicy.policyText(rand.New(rand.NewPCG(1, 1)))), 0o600))
	p, err := ini.LoadPolicy(path)
	assert.NilError(t, err)
	assert.Equal(t, len(p.EnabledNames()), len(policy.Switches()))
}
