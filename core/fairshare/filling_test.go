package fairshare

import (
	"math"
	"math/big"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// fillExactly is Fill in rational numbers: all accounts grow together until the next one stops.
func fillExactly(capacity job.Resources, claims []Claim) (fractions []*big.Rat, limited []bool) {
	total := [resourceCount]int64{capacity.CPU, capacity.MemMB, capacity.GPU}
	wanted := make([][resourceCount]*big.Rat, len(claims))
	dominant := make([]*big.Rat, len(claims))
	growing := make([]bool, len(claims))
	fractions, limited = make([]*big.Rat, len(claims)), make([]bool, len(claims))
	for i, c := range claims {
		fractions[i], dominant[i] = new(big.Rat), new(big.Rat)
		for r, amount := range [resourceCount]int64{c.Wanted.CPU, c.Wanted.MemMB, c.Wanted.GPU} {
			wanted[i][r] = big.NewRat(amount, max(1, total[r]))
			if wanted[i][r].Cmp(dominant[i]) > 0 {
				dominant[i] = wanted[i][r]
			}
		}
		growing[i] = dominant[i].Sign() > 0
	}
	// use returns how much of resource r account i holds with a share of x.
	use := func(i, r int, x *big.Rat) *big.Rat {
		out := new(big.Rat).Mul(x, wanted[i][r])
		return out.Quo(out, dominant[i])
	}
	for {
		// step is the largest growth of the level that no account and no resource prevents.
		var step *big.Rat
		shorten := func(x *big.Rat) {
			if step == nil || x.Cmp(step) < 0 {
				step = x
			}
		}
		for i, c := range claims {
			if growing[i] {
				missing := new(big.Rat).Sub(dominant[i], fractions[i])
				shorten(missing.Quo(missing, new(big.Rat).SetFloat64(c.Weight)))
			}
		}
		if step == nil {
			return fractions, limited
		}
		unused := func(r int) *big.Rat {
			out := big.NewRat(1, 1)
			for i := range claims {
				if dominant[i].Sign() > 0 {
					out.Sub(out, use(i, r, fractions[i]))
				}
			}
			return out
		}
		for r := range total {
			speed := new(big.Rat)
			for i, c := range claims {
				if growing[i] {
					speed.Add(speed, use(i, r, new(big.Rat).SetFloat64(c.Weight)))
				}
			}
			if speed.Sign() > 0 {
				shorten(new(big.Rat).Quo(unused(r), speed))
			}
		}
		for i, c := range claims {
			if growing[i] {
				fractions[i].Add(fractions[i], new(big.Rat).Mul(step, new(big.Rat).SetFloat64(c.Weight)))
			}
		}
		for i := range claims {
			if !growing[i] {
				continue
			}
			if fractions[i].Cmp(dominant[i]) == 0 {
				growing[i] = false
				continue
			}
			for r := range total {
				if wanted[i][r].Sign() > 0 && unused(r).Sign() == 0 {
					growing[i], limited[i] = false, true
				}
			}
		}
	}
}

// Guards against shares that differ from the exact weighted max-min division, with accounts that
// want one resource or several, little or much.
func TestFillMatchesExactFilling(t *testing.T) {
	const tolerance = 1e-9
	rng := rand.New(rand.NewPCG(7, 1))
	for round := range 400 {
		capacity := job.Resources{CPU: 1 + rng.Int64N(1000), MemMB: 1 + rng.Int64N(1000), GPU: rng.Int64N(30)}
		claims := make([]Claim, 1+rng.IntN(12))
		for i := range claims {
			c := Claim{Weight: float64(1 + rng.IntN(9)), Wanted: job.Resources{CPU: rng.Int64N(400), MemMB: rng.Int64N(400)}}
			if capacity.GPU > 0 && rng.IntN(3) == 0 {
				c.Wanted.GPU = rng.Int64N(20)
			}
			if rng.IntN(6) == 0 {
				c.Wanted = job.Resources{}
			}
			claims[i] = c
		}
		shares := Fill(capacity, claims)
		fractions, limited := fillExactly(capacity, claims)
		for i, s := range shares {
			exact, _ := fractions[i].Float64()
			assert.Assert(t, math.Abs(s.Fraction-exact) < tolerance, "round %d, claim %d: %v, not %v", round, i, s.Fraction, exact)
			assert.Equal(t, s.Limited, limited[i], "round %d, claim %d", round, i)
		}
	}
}
