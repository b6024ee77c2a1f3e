// Package limit keeps every team's running work within its upper limit.
//
// A team's limit is split into allotments: rows of the platform's table give a
// part to each zone, and of a zone's part to each entry. An entry counts what it
// runs against its own allotment only, so it needs the table for moves of
// allotments and never for a request.
package limit

import (
	"time"

	"lavenderpond/core"
)

// Limiter counts running work against allotments. Implementations are pure and
// not safe for concurrent use.
type Limiter interface {
	// Acquire takes a slot of the team's allotment before a dispatch. The slot is
	// held until Release, or until the deadline of the target's lease, whichever
	// comes first: an unknown outcome is simply not released.
	Acquire(now time.Time, key core.RequestKey, until time.Time) bool
	// Release gives the slot back, once it is certain that nothing runs.
	Release(key core.RequestKey)
	// Running returns how many slots the team holds here.
	Running(now time.Time, team core.TeamID) core.Slots
	// RecordDemand tells that a request of team waits for want of allotment.
	RecordDemand(now time.Time, team core.TeamID)
}
