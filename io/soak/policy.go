package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os/exec"
	"strings"
)

// PolicyMode says which decisions under scarcity the daemons are told to make.
type PolicyMode string

// The modes. With NoPolicy the daemons get no policy file.
const (
	NoPolicy     PolicyMode = "none"
	FullPolicy   PolicyMode = "all"
	RandomPolicy PolicyMode = "random"
)

// policyFlag is the daemon's flag for a policy file.
const policyFlag = "--policy"

// policySections are the sections of a policy file, one for each kind of decision.
var policySections = []string{"admission", "fair_shares", "run_time_forecast", "second_runs", "ranked_room"}

// AcceptsPolicy reports whether a daemon's program has a flag for a policy file.
func AcceptsPolicy(ctx context.Context, binary string) bool {
	// A program without the flag may also fail to print its help.
	out, _ := exec.CommandContext(ctx, binary, "--help").CombinedOutput()
	return bytes.Contains(out, []byte(policyFlag))
}

// policyText returns a policy file that enables all decisions or, in RandomPolicy, each with
// probability one half.
func (m PolicyMode) policyText(rng *rand.Rand) string {
	var b strings.Builder
	for _, section := range policySections {
		if m == FullPolicy || rng.IntN(2) == 0 {
			b.WriteString("[" + section + "]\nenabled = true\n")
		}
	}
	return b.String()
}
