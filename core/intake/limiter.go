package intake

import "lavenderpond/core/job"

const (
	// fairFrom is the part of a limit, as a divisor, up to which any account may use what it
	// wants.
	fairFrom = 2
	// newcomerPart is the part of a limit, as a divisor, that the accounts with calls in
	// progress leave to others.
	newcomerPart = 8
)

// Limiter decides which calls an entry VM takes in. The zero value has no limits.
//
// A call is refused if it would exceed a limit. From half of a limit on, a call is also refused
// if its account would hold more than its part: the limit less an eighth, divided by the number
// of accounts with calls in progress. An account without any always finds the eighth, unless
// other newcomers have taken it.
type Limiter struct {
	// Limits are the limits of each resource; 0 means no limit.
	Limits Amount

	inUse    Amount
	accounts map[job.AccountName]Amount
}

// Decision is Admit or Refuse.
type Decision interface{ decision() }

// Admit means that the call was taken in, and counts until Release.
type Admit struct{}

// Refuse means that the call was not taken in, with the inputs of the decision.
type Refuse struct {
	Resource Resource
	Cause    Cause
	// InUse is what all calls in progress use of the resource, AccountUse what those of the
	// account use.
	InUse, AccountUse int64
	// Limit is the limit of the resource, Part the account's part of it.
	Limit, Part int64
}

func (Admit) decision()  {}
func (Refuse) decision() {}

// Cause is the reason why a call is refused.
type Cause int

// The causes.
const (
	// Full means that the resource is used up.
	Full Cause = iota
	// AbovePart means that the account uses its part of the resource.
	AbovePart
)

// String returns the cause in snake case.
func (c Cause) String() string { return [...]string{"full", "above_part"}[c] }

// Admit decides about a call of an account. Each admitted call must be released with the same
// arguments.
func (l *Limiter) Admit(account job.AccountName, cost Amount) Decision {
	held, known := l.accounts[account]
	active := int64(len(l.accounts))
	if !known {
		active++
	}
	for _, r := range Resources() {
		if refusal, refused := l.check(r, cost[r], held[r], active); refused {
			return refusal
		}
	}
	if l.accounts == nil {
		l.accounts = map[job.AccountName]Amount{}
	}
	l.inUse = l.inUse.add(cost)
	l.accounts[account] = held.add(cost)
	return Admit{}
}

// check decides about one resource. A call that alone exceeds a limit is admitted if nothing
// else uses the resource, since it would never be otherwise.
func (l *Limiter) check(r Resource, cost, held, active int64) (Refuse, bool) {
	limit := l.Limits[r]
	if limit <= 0 || l.inUse[r] == 0 {
		return Refuse{}, false
	}
	part := (limit - limit/newcomerPart) / active
	out := Refuse{Resource: r, InUse: l.inUse[r], AccountUse: held, Limit: limit, Part: part}
	switch after := l.inUse[r] + cost; {
	case after > limit:
		out.Cause = Full
	case after > limit/fairFrom && held > 0 && held+cost > part:
		out.Cause = AbovePart
	default:
		return Refuse{}, false
	}
	return out, true
}

// Release ends a call that was admitted.
func (l *Limiter) Release(account job.AccountName, cost Amount) {
	l.inUse = l.inUse.sub(cost)
	left := l.accounts[account].sub(cost)
	if left == (Amount{}) {
		delete(l.accounts, account)
		return
	}
	l.accounts[account] = left
}

// InUse returns what all calls in progress use.
func (l *Limiter) InUse() Amount { return l.inUse }

// Accounts calls f for each account with calls in progress, with what these use.
func (l *Limiter) Accounts(f func(account job.AccountName, use Amount)) {
	for a, use := range l.accounts {
		f(a, use)
	}
}
