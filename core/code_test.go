package core_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
)

const codesPagePath = "../docs/RESULT-CODES.md"

// TestCodesPageIsCurrent checks that the operators' documentation matches the result
// code table.
func TestCodesPageIsCurrent(t *testing.T) {
	page, err := filepath.Abs(codesPagePath)
	assert.NilError(t, err)
	golden.Assert(t, renderCodes(), page)
}

func TestCodesAreUniqueAndDescribed(t *testing.T) {
	seen := map[string]bool{}
	for _, info := range core.Codes() {
		assert.Assert(t, !seen[info.Name], "duplicate name %s", info.Name)
		seen[info.Name] = true
		assert.Equal(t, info.Code.String(), info.Name)
		assert.Assert(t, info.Description != "")
	}
}

func renderCodes() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nWritten from `core/codes.csv` by `go test ./core -update`.\n")
	b.WriteString("The outcome says whether the request ran: `done`, `not_run` or `outcome_unknown`.\n")
	b.WriteString("A code listed as `not_run` comes with `outcome_unknown` when an entry that has no record of the id refuses\n")
	b.WriteString("a second or later attempt: an earlier one may have run.\n\n")
	b.WriteString("| number | name | outcome | meaning |\n|---|---|---|---|\n")
	for _, info := range core.Codes() {
		fmt.Fprintf(&b, "| %d | `%s` | `%s` | %s |\n", uint16(info.Code), info.Name, info.Outcome, info.Description)
	}
	return b.String()
}
