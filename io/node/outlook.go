package node

import (
	"sync"
	"time"

	"lavenderpond/core/admission"
)

// outlookPublisher passes the scheduler's forecast from the event loop to the committer. The
// zero value has none.
type outlookPublisher struct {
	mu        sync.Mutex
	publisher admission.Publisher
	forecast  admission.Forecast
	known     bool
}

// tenureSequenceBits is the number of bits of a forecast's sequence that count within a tenure.
const tenureSequenceBits = 32

// startTenure begins the sequences of a tenure above those of the former ones: entry VMs that have
// read a forecast of the same process ignore lower sequences.
func (p *outlookPublisher) startTenure(number int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publisher.After = admission.Sequence(number << tenureSequenceBits)
}

// set replaces the forecast.
func (p *outlookPublisher) set(f admission.Forecast) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forecast, p.known = f, true
}

// next returns the forecast to store now, if one is due.
func (p *outlookPublisher) next(now time.Time) (admission.Forecast, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return admission.Forecast{}, false
	}
	return p.publisher.Next(now, p.forecast)
}

// clear forgets the forecast, so that none is published.
func (p *outlookPublisher) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = false
}

// publishOutlook hands the scheduler's forecast to the committer.
func (o *owner) publishOutlook(now time.Time) {
	gate := o.node.admission
	gate.sawVersion(o.tenure.lastRenewal())
	if !gate.enabled() {
		o.outlook.clear()
		return
	}
	known := o.relays.refusalsKnown(now)
	if known == o.refusalsBlocked {
		o.refusalsBlocked = !known
		o.log.Info().Str("event", "refusals_blocked").Bool("blocked", !known).Send()
	}
	if !known {
		o.outlook.clear()
		return
	}
	f, fresh := o.scheduler.Outlook(now)
	if !fresh {
		// The jobs that have arrived since aren't in it, so Includes must not change.
		return
	}
	f.RunID, f.Includes, f.Entries = o.tenure.runID, uint64(o.lastJobVersion), o.relays.memberCount()
	o.outlook.set(f)
}

// nextForecast returns the forecast to store, if one is due. This process doesn't poll the
// owner's rows while it is the owner, so it takes its own forecast as it is sent.
func (o *owner) nextForecast() (admission.Forecast, bool) {
	now := bootNow()
	f, due := o.outlook.next(now)
	if due {
		o.node.admission.update(now, f, o.tenure.runID)
		o.log.Info().Str("event", "room_forecast").Int64("forecast", int64(f.Sequence)).Int("entries", f.Entries).
			Interface("pools", f.Pools).Interface("beyond_share", f.BeyondShare).Send()
	}
	return f, due
}
