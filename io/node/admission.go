package node

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core/admission"
	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/core/retry"
	"lavenderpond/platform"
)

// maxRefusalCounts bounds the number of counters of refusals.
const maxRefusalCounts = 200

// admissionGate decides for this process which jobs are taken in, and when refused callers
// return, if the policy says so. A nil gate takes in every job. It follows the table's versions
// also while admission is off, so that a refusal of another entry VM is never overwritten by a
// call that was waiting.
type admissionGate struct {
	policy func() *policy.Policy
	log    zerolog.Logger
	count  func(name string)

	mu         sync.Mutex
	controller admission.Controller
	returns    retry.ReturnTimes
	refusals   map[refusalKey]int64
	// version is the newest version of the table that this process has seen.
	version platform.Version
	// clock is the table's clock as of clockAt; 0 before the first poll.
	clock   tableTime
	clockAt time.Time
}

// refusalKey is what refusals are counted by.
type refusalKey struct {
	reason  admission.RefuseReason
	account job.AccountName
	queue   job.QueueName
}

func newAdmissionGate(current func() *policy.Policy, log zerolog.Logger, count func(name string)) *admissionGate {
	return &admissionGate{policy: current, log: log, count: count, refusals: map[refusalKey]int64{}}
}

// enabled reports whether jobs may be refused.
func (g *admissionGate) enabled() bool { return g != nil && g.policy().Admission }

// polled takes what a poll of the owner's rows has read.
func (g *admissionGate) polled(now time.Time, rows ownerRows) {
	if g == nil {
		return
	}
	owner := rows.owner.RunID
	if rows.owner.Vacant {
		owner = ""
	}
	g.sawVersion(rows.tableVersion)
	g.update(now, rows.forecast, owner)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clock, g.clockAt = rows.tableTime, now
}

// tableTime returns the table's time, or 0 if it isn't known.
func (g *admissionGate) tableTime(now time.Time) tableTime {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clock == 0 {
		return 0
	}
	return g.clock + tableTime(now.Sub(g.clockAt).Milliseconds())
}

// update takes a forecast and the run ID of the owner.
func (g *admissionGate) update(now time.Time, f admission.Forecast, owner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Update(now, f, owner)
}

// sawVersion records a version of the table.
func (g *admissionGate) sawVersion(v platform.Version) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version = max(g.version, v)
}

// tableVersion returns the newest version of the table that this process has seen. Without a
// gate no version is too new.
func (g *admissionGate) tableVersion() platform.Version {
	if g == nil {
		return math.MaxUint64
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// decide decides about a job, which may have been refused before.
func (g *admissionGate) decide(now, wall time.Time, j *job.Job, firstRefusal tableTime) admission.Decision {
	if !g.enabled() {
		return admission.Admit{}
	}
	if g.policy().Exempt(wall, policy.Admission, j.Terms.Account, j.Terms.Queue) {
		g.count("admitted_exempt")
		return admission.Admit{}
	}
	r := admission.Request{Job: j}
	if t := g.tableTime(now); t != 0 && firstRefusal != 0 {
		r.Waited = max(0, time.Duration(t-firstRefusal)*time.Millisecond)
	}
	g.mu.Lock()
	g.controller.Withdraw(j.ID)
	d := g.controller.Decide(now, r)
	g.mu.Unlock()
	if d, ok := d.(admission.Admit); ok {
		g.count("admitted_" + d.Reason.String())
	}
	return d
}

// settle records whether a job that was admitted has been stored, and at which version.
func (g *admissionGate) settle(id job.ID, version platform.Version, err error) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil && version != 0:
		g.controller.Stored(id, uint64(version))
	case !isOutcomeUnknown(err):
		g.controller.Withdraw(id)
	}
}

// refused counts and logs a refusal, and returns the delay after which the caller may return.
func (g *admissionGate) refused(now time.Time, j *job.Job, r admission.Refuse) time.Duration {
	at := g.returnTime(now, j, r)
	delay := retry.WholeSeconds(at.Sub(now), string(j.ID))
	g.count("refused_" + r.Reason.String())
	g.log.Info().Str("event", "call_refused").Str("job", string(j.ID)).Str("reason", r.Reason.String()).
		Str("account", string(j.Terms.Account)).Str("queue", string(j.Terms.Queue)).Str("pool", string(j.Terms.Pool)).
		Int64("start_ms", r.Start.Sub(now).Milliseconds()).Int64("complete_ms", r.Complete.Sub(now).Milliseconds()).
		Int64("late_limit_ms", r.LateLimit.Sub(now).Milliseconds()).
		Float64("work", float64(r.Work)).Float64("before", float64(r.Before)).Float64("unseen", float64(r.Unseen)).
		Int64("forecast", int64(r.Sequence)).Int64("forecast_age_ms", r.Age.Milliseconds()).
		Int64("retry_ms", delay.Milliseconds()).Send()
	return delay
}

// returnTime gives out a return time and counts the refusal.
func (g *admissionGate) returnTime(now time.Time, j *job.Job, r admission.Refuse) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := refusalKey{r.Reason, j.Terms.Account, j.Terms.Queue}
	if _, counted := g.refusals[key]; counted || len(g.refusals) < maxRefusalCounts {
		g.refusals[key]++
	}
	interval := time.Duration(0)
	if r.ServiceRate > 0 {
		interval = time.Duration(float64(r.Work/r.ServiceRate) * float64(time.Second))
	}
	return g.returns.Next(now, retry.Series(string(j.Terms.Pool)+"/"+r.Reason.String()), r.Start, interval, string(j.ID))
}

// unavailableDelay returns the delay after which a caller returns that this process can't serve.
func (g *admissionGate) unavailableDelay(id string) time.Duration {
	if !g.enabled() {
		return retryAfter
	}
	return retry.WholeSeconds(retry.Spread(retryAfter, id), id)
}

// admissionDump is the state of admission as served at /dump.
type admissionDump struct {
	Forecast admission.Forecast `json:"forecast"`
	AgeMS    int64              `json:"age_ms"`
	InForce  bool               `json:"in_force"`
	Refusals []refusalCount     `json:"refusals"`
}

// refusalCount counts the refusals of an account's jobs in a queue.
type refusalCount struct {
	Reason  string          `json:"reason"`
	Account job.AccountName `json:"account"`
	Queue   job.QueueName   `json:"queue"`
	Count   int64           `json:"count"`
}

func (g *admissionGate) dump(now time.Time) *admissionDump {
	if !g.enabled() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f, age, inForce := g.controller.Forecast(now)
	d := &admissionDump{Forecast: f, AgeMS: age.Milliseconds(), InForce: inForce}
	keys := slices.SortedFunc(maps.Keys(g.refusals), func(a, b refusalKey) int {
		return cmp.Or(cmp.Compare(a.reason, b.reason), cmp.Compare(a.account, b.account), cmp.Compare(a.queue, b.queue))
	})
	for _, k := range keys {
		d.Refusals = append(d.Refusals, refusalCount{k.reason.String(), k.account, k.queue, g.refusals[k]})
	}
	return d
}
