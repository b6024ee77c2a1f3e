// Package limit keeps each team's running requests within the team's concurrency limit.
//
// A team's limit is divided into allotments stored as rows of the platform's table: one
// row divides the limit among zones, and one row per zone divides the zone's allotment
// among its entries. An entry counts running requests against its own allotment only,
// so it accesses the table to move slots between allotments and never to serve a
// request.
package limit

import (
	"time"

	"lavenderpond/core"
)

// Limiter counts running requests against the entry's allotments. Implementations do no
// I/O and aren't safe for concurrent use.
type Limiter interface {
	// Acquire takes a slot of the team's allotment before a dispatch. The slot is held
	// until Release or until the deadline of the target's lease, whichever comes first.
	// A request with an unknown outcome is therefore not released explicitly.
	Acquire(now time.Time, key core.RequestKey, until time.Time) bool
	// Release frees the request's slots. It must be called only when the request is
	// certainly not running.
	Release(key core.RequestKey)
	// Running returns the number of slots that the team holds at this entry.
	Running(now time.Time, team core.TeamID) core.Slots
	// RecordDemand records that a request of team is waiting because the team's
	// allotment at this entry is exhausted.
	RecordDemand(now time.Time, team core.TeamID)
}
