package node

import (
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
}

// isRefusal reports whether a job's cancellation, which may be nil, records a refusal.
func isRefusal(r *platform.Row) (bool, error) {
	c, err := decodeRow[cancelRow](r)
	return c.Refused, err
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
func (s *jobStore) refuse(ctx context.Context, deadline time.Time, id job.ID) (refused bool, err error) {
	value, err := encodeRow(cancelRow{Refused: true})
	if err != nil {
		return false, err
	}
	if d := bootNow().Add(refusalStoreTimeout); d.Before(deadline) {
		deadline = d
	}
	refusal := platform.Version(0)
	for range maxCancelAttempts {
		_, conflict, err := s.store(ctx, deadline, platform.Transaction{
			Conditions: []platform.Condition{{RowKey: jobKey(id)}, {RowKey: cancelKey(id), Version: refusal}},
			Writes:     []platform.Write{{RowKey: cancelKey(id), Value: value}},
		})
		if err != nil || conflict == nil {
			return err == nil, err
		}
		known, last, err := conflictRows(id, conflict).known()
		if known || err != nil {
			return false, err
		}
		refusal = last
	}
	return false, errors.Wrap(errOutcomeUnknown, "the job keeps changing")
}
