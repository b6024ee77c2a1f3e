package intake

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// smallestVM is the smallest entry VM of the known deployments.
var smallestVM = VM{Cores: 0.192, Memory: 184 << 20, LinkRate: 10e6 / 8}

type heldCall struct {
	account job.AccountName
	cost    Amount
}

// Compares the limiter with sums over a plain list of the calls in progress, and checks for each
// decision that it was allowed: no limit is exceeded but by a call alone, nothing is refused
// while there is room for it, and an account is only held back above its part.
func TestLimiterMatchesListOfCalls(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		l := Limiter{Limits: LimitsFor(smallestVM)}
		var held []heldCall
		for range 500 {
			if len(held) > 0 && rnd.IntN(100) < 40 {
				i := rnd.IntN(len(held))
				l.Release(held[i].account, held[i].cost)
				held[i] = held[len(held)-1]
				held = held[:len(held)-1]
				continue
			}
			c := heldCall{job.AccountName(fmt.Sprint(rnd.IntN(1 + rnd.IntN(6)))), CallCost(int64(rnd.ExpFloat64() * 3000))}
			checkDecision(t, &l, held, c, l.Admit(c.account, c.cost))
			if l.InUse() != total(held, "") {
				held = append(held, c)
			}
			assert.Equal(t, l.InUse(), total(held, ""), "seed %d", seed)
		}
		for _, c := range held {
			l.Release(c.account, c.cost)
		}
		assert.Equal(t, l.InUse(), Amount{})
		assert.Equal(t, len(l.accounts), 0)
	}
}

// total returns what the calls of an account, or of all accounts, use.
func total(held []heldCall, account job.AccountName) Amount {
	var out Amount
	for _, c := range held {
		if account == "" || c.account == account {
			out = out.add(c.cost)
		}
	}
	return out
}

func checkDecision(t *testing.T, l *Limiter, held []heldCall, c heldCall, d Decision) {
	t.Helper()
	before, own := total(held, ""), total(held, c.account)
	active := map[job.AccountName]bool{c.account: true}
	for _, h := range held {
		active[h.account] = true
	}
	switch d := d.(type) {
	case Admit:
		for _, r := range Resources() {
			after, part := before[r]+c.cost[r], l.Limits[r]*7/8/int64(len(active))
			assert.Assert(t, before[r] == 0 || after <= l.Limits[r], "%v", r)
			assert.Assert(t, before[r] == 0 || after <= l.Limits[r]/2 || own[r] == 0 || own[r]+c.cost[r] <= part, "%v", r)
		}
	case Refuse:
		after := before[d.Resource] + c.cost[d.Resource]
		assert.Assert(t, d.InUse == before[d.Resource] && d.AccountUse == own[d.Resource], "%+v", d)
		assert.Equal(t, d.Part, l.Limits[d.Resource]*7/8/int64(len(active)), "%+v", d)
		if d.Cause == Full {
			assert.Assert(t, after > d.Limit, "%+v", d)
			return
		}
		assert.Assert(t, after > d.Limit/2 && own[d.Resource] > 0 && own[d.Resource]+c.cost[d.Resource] > d.Part, "%+v", d)
	}
}

// Guards against an account that takes all calls of an entry VM: another finds room at once, and
// is only held back above its part.
func TestAccountLeavesRoomForOthers(t *testing.T) {
	l := Limiter{Limits: LimitsFor(smallestVM)}
	cost := CallCost(400)
	fill := func(a job.AccountName) (n int64) {
		for {
			if _, ok := l.Admit(a, cost).(Admit); !ok {
				return n
			}
			n++
		}
	}
	limit := l.Limits[Calls]
	hot := fill("hot")
	assert.Equal(t, hot, limit-limit/8)
	assert.Equal(t, fill("quiet"), limit/8)
	for range hot {
		l.Release("hot", cost)
	}
	assert.Equal(t, fill("quiet")+limit/8, limit-limit/8)
}

// Guards against a large job that is refused for ever, since it alone exceeds a limit.
func TestLargeCallIsAdmittedAlone(t *testing.T) {
	l := Limiter{Limits: LimitsFor(smallestVM)}
	large := CallCost(2 << 20)
	assert.Assert(t, large[Transfer] > l.Limits[Transfer] && large[Memory] > l.Limits[Memory])
	assert.Equal(t, l.Admit("a", large), Decision(Admit{}))
	refusal, _ := l.Admit("b", CallCost(0)).(Refuse)
	assert.Assert(t, refusal.Cause == Full && refusal.Resource == Memory, "%+v", refusal)
	l.Release("a", large)
	assert.Equal(t, l.Admit("b", CallCost(0)), Decision(Admit{}))
}

// Guards against limits where the capacity is unknown, or the zero value is used.
func TestZeroLimiterAdmitsAll(t *testing.T) {
	l := Limiter{Limits: LimitsFor(VM{})}
	for range 10_000 {
		assert.Equal(t, l.Admit("a", CallCost(1<<20)), Decision(Admit{}))
	}
}

// Guards against a length that a caller makes up, and whose cost overflows: the limits would let in
// any number of calls beside it.
func TestHugeLengthLiftsNoLimit(t *testing.T) {
	l := Limiter{Limits: LimitsFor(smallestVM)}
	assert.Equal(t, l.Admit("a", CallCost(math.MaxInt64)), Decision(Admit{}))
	for _, r := range Resources() {
		assert.Assert(t, l.InUse()[r] > 0, "%v", r)
	}
	refusal, _ := l.Admit("b", CallCost(math.MaxInt64)).(Refuse)
	assert.Equal(t, refusal.Cause, Full)
	assert.Equal(t, refusal.Resource, Memory)
}
