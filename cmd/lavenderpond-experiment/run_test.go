package main

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
)

// TestRun compares the output with golden files. The same seeds produce the same values,
// so the test fails if a change alters a decision.
func TestRun(t *testing.T) {
	for _, output := range []string{"table", "json"} {
		var b bytes.Buffer
		r := Run{Name: "bad_target", Seeds: 2, FirstSeed: 3, Workload: "consortium", Output: output}
		assert.NilError(t, r.Run(&b))
		golden.Assert(t, b.String(), "bad_target."+output)
	}
}

func TestList(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, List{}.Run(&b))
	golden.Assert(t, b.String(), "list.txt")
}

func TestUnknownExperiment(t *testing.T) {
	err := Run{Name: "nothing"}.Run(&bytes.Buffer{})
	assert.Equal(t, core.ErrorCode(err), core.CodeNotFound)
}
