package node

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"lavenderpond/core/intake"
	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/platform"
)

const (
	// assumedBodyBytes is the length that is assumed for a body of unknown length if the
	// configuration doesn't limit bodies.
	assumedBodyBytes = 64 << 10
	bitsPerByte      = 8
	bitsPerMegabit   = 1_000_000
)

// entryLimits refuses calls beyond what this entry VM can serve, if the policy says so. It is
// safe for concurrent use. A nil entryLimits admits all calls.
type entryLimits struct {
	policy func() *policy.Policy
	log    zerolog.Logger
	count  func(name string)

	mu      sync.Mutex
	limiter intake.Limiter
	refused map[intake.Resource]int64
}

func newEntryLimits(s *platform.Settings, current func() *policy.Policy, log zerolog.Logger, m *processMetrics) *entryLimits {
	vm := intake.VM{Cores: s.Cores, Memory: s.MemoryMB << 20, LinkRate: s.LinkMbps * bitsPerMegabit / bitsPerByte}
	l := &entryLimits{
		policy: current, log: log, count: m.count,
		limiter: intake.Limiter{Limits: intake.LimitsFor(vm)}, refused: map[intake.Resource]int64{},
	}
	for _, r := range intake.Resources() {
		m.observeGauge("in_progress_"+r.String(), func() int64 { return l.inUse()[r] })
	}
	return l
}

// admit takes a call in and returns what ends it, or the reason why it is refused.
func (l *entryLimits) admit(account job.AccountName, r *http.Request, bodyLimit int64) (release func(), refusal *intake.Refuse) {
	if l == nil || !l.policy().EntryLimits {
		return func() {}, nil
	}
	cost := intake.CallCost(bodyBytes(r, bodyLimit))
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, refused := l.limiter.Admit(account, cost).(intake.Refuse); refused {
		l.refused[d.Resource]++
		return nil, &d
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.limiter.Release(account, cost)
	}, nil
}

// bodyBytes returns how many bytes of the body may be read.
func bodyBytes(r *http.Request, limit int64) int64 {
	switch {
	case r.Method != http.MethodPost:
		return 0
	case r.ContentLength >= 0 && (limit == 0 || r.ContentLength < limit):
		return r.ContentLength
	case limit > 0:
		return limit
	}
	return assumedBodyBytes
}

// refusalReason counts a refusal and returns its inputs as text.
func (l *entryLimits) refusalReason(account job.AccountName, d *intake.Refuse) string {
	l.count("limited_" + d.Resource.String() + "_" + d.Cause.String())
	return fmt.Sprintf("entry limit of %s: %d of %d in use, account %q uses %d of its part of %d, %s",
		d.Resource, d.InUse, d.Limit, account, d.AccountUse, d.Part, d.Cause)
}

func (l *entryLimits) inUse() intake.Amount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.InUse()
}

// limitsDump is the state of an entry VM's limits as served at /dump.
type limitsDump struct {
	Resources []resourceDump `json:"resources"`
	Accounts  []callersDump  `json:"accounts"`
}

type resourceDump struct {
	Resource string `json:"resource"`
	InUse    int64  `json:"in_use"`
	// Limit is 0 if there is none.
	Limit int64 `json:"limit"`
	// Refused counts the calls refused since the process started.
	Refused int64 `json:"refused"`
}

type callersDump struct {
	Account job.AccountName `json:"account"`
	Calls   int64           `json:"calls"`
}

// dump returns the state, or nil if no limits are in force.
func (l *entryLimits) dump() *limitsDump {
	if l == nil || !l.policy().EntryLimits {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := &limitsDump{Accounts: []callersDump{}}
	for _, r := range intake.Resources() {
		d.Resources = append(d.Resources, resourceDump{r.String(), l.limiter.InUse()[r], l.limiter.Limits[r], l.refused[r]})
	}
	l.limiter.Accounts(func(a job.AccountName, use intake.Amount) {
		d.Accounts = append(d.Accounts, callersDump{a, use[intake.Calls]})
	})
	slices.SortFunc(d.Accounts, func(a, b callersDump) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Account, b.Account))
	})
	return d
}
