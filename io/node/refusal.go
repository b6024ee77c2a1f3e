package node

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/platform"
)

// cancelRow is the value of a job's cancellation.
type cancelRow struct {
	// Refused is set if the job was refused and not cancelled. Its caller may submit it again.
	Refused bool `json:"refused,omitempty"`
	// FirstAt is when the job was first refused, or 0 if that isn't known.
	FirstAt tableTime `json:"first_at,omitempty"`
}

// tableTime is a reading of the table's monotonic clock in milliseconds.
type tableTime int64

// refusal is the last refusal of a job. The zero value means none.
type refusal struct {
	version platform.Version
	firstAt tableTime
}

// decodeRefusal decodes a job's cancellation, which may be nil, and reports whether it records a
// refusal.
func decodeRefusal(r *platform.Row) (last refusal, refused bool, err error) {
	c, err := decodeRow[cancelRow](r)
	if err != nil || !c.Refused {
		return refusal{}, false, err
	}
	return refusal{r.Version, c.FirstAt}, true, nil
}

// refusalStoreTimeout bounds storing a refusal. A job whose refusal can't be stored is submitted
// like any other, for which most of the caller's timeout has to be left.
const refusalStoreTimeout = 400 * time.Millisecond

// refuse stores that a job is refused, so that nothing that an earlier call of its caller left on
// the way can be stored later. Reading the rows wouldn't do: a submission that an entry VM sent
// without getting an answer may be applied seconds after the read. refused is false if the job
// is stored already or cancelled. After an error the caller must not be told that the job never
// runs.
//
// A submission expects that there is neither a job nor a cancellation, or the one refusal that
// its call replaces. So a new version of the refusal makes all earlier submissions fail.
// at is the table's time, from which the caller's waiting time counts if it submits the job again.
func (s *jobStore) refuse(ctx context.Context, deadline time.Time, id job.ID, at tableTime) (refused bool, err error) {
	if s.latency.slowerThan(refusalStoreTimeout) {
		return false, errors.Wrap(errNotStored, "the table is too slow to store a refusal in time")
	}
	if d := bootNow().Add(refusalStoreTimeout); d.Before(deadline) {
		deadline = d
	}
	var last refusal
	for range maxCancelAttempts {
		value, err := encodeRow(cancelRow{Refused: true, FirstAt: cmp.Or(last.firstAt, at)})
		if err != nil {
			return false, err
		}
		_, conflict, err := s.store(ctx, deadline, platform.Transaction{
			Conditions: []platform.Condition{{RowKey: jobKey(id)}, {RowKey: cancelKey(id), Version: last.version}},
			Writes:     []platform.Write{{RowKey: cancelKey(id), Value: value}},
		})
		if err != nil || conflict == nil {
			return err == nil, err
		}
		var known bool
		if known, last, err = conflictRows(id, conflict).known(); known || err != nil {
			return false, err
		}
	}
	return false, errors.Wrap(errOutcomeUnknown, "the job keeps changing")
}
