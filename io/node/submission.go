package node

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/contact"
	"lavenderpond/core/job"
	"lavenderpond/platform"
)

// errTooLarge means that a job doesn't fit into a row of the table.
var errTooLarge = errors.New("the job is too large to be stored")

// errTableSilent means that the table didn't answer a lookup.
var errTableSilent = errors.New("the table does not answer")

// lookupBeforeSubmit reads the rows that the table has of the job already, and so checks that
// the table is reachable. Unless the call is a probe, it looks nothing up if the table has
// answered recently or is slow. A submission that is sent into a network partition can't
// be denied as not stored any more, because it may be applied later, and its caller can't
// retry elsewhere. Without the lookup, 44 of 3,400 jobs were lost that way when a zone was
// cut off. After a lookup without an answer nothing has been written, and the caller can
// go elsewhere.
func (s *jobStore) lookupBeforeSubmit(ctx context.Context, id job.ID, decision contact.Decision) (rows jobRows, err error) {
	if decision == contact.Call && (s.health.sinceLastAnswer() < maxAnswerAge || s.latency.slowerThan(lookupMaxLatency)) {
		return jobRows{}, nil
	}
	timeout := lookupTimeout
	if decision == contact.Probe {
		timeout = probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := bootNow()
	snapshot, err := s.table.List(ctx, jobRowRange(id))
	s.recordLatency(bootNow().Sub(started))
	s.recordOutcome(jobPartition(id), err)
	switch {
	case errors.Is(err, platform.ErrNoAnswer):
		return jobRows{}, errors.Wrap(errNotStored, errTableSilent.Error())
	case err != nil:
		// The lookup was refused or not sent, which leaves nothing in flight.
		return jobRows{}, nil //nolint:nilerr // The submission is sent anyway. If it is refused too, it is retried.
	}
	for i := range snapshot.Rows {
		switch row := &snapshot.Rows[i]; row.Key {
		case jobKey(id).Key:
			rows.submitted = row
		case cancelKey(id).Key:
			rows.cancellation = row
		}
	}
	return rows, nil
}

// jobRowRange returns the range of the rows that hold a submitted job and its
// cancellation.
func jobRowRange(id job.ID) platform.Range {
	return platform.Range{
		Table: jobTable, Partition: jobPartition(id), From: cancelKey(id).Key, To: jobKey(id).Key + "\x00",
	}
}

// jobRows are the rows of a job that callers write. Either may be nil.
type jobRows struct{ submitted, cancellation *platform.Row }

// conflictRows returns the job's rows in the answer to a transaction whose conditions failed.
func conflictRows(id job.ID, err *platform.ConflictError) jobRows {
	return jobRows{err.Row(jobKey(id)), err.Row(cancelKey(id))}
}

// known reports whether the job is stored or cancelled. If it isn't, last is its last refusal.
func (r jobRows) known() (known bool, last refusal, err error) {
	if r.submitted != nil || r.cancellation == nil {
		return r.submitted != nil, refusal{}, nil
	}
	last, refused, err := decodeRefusal(r.cancellation)
	return err == nil && !refused, last, err
}

var (
	// errRefusedMeanwhile means that the job was refused after the call had arrived, so the
	// caller has been told already that it isn't stored.
	errRefusedMeanwhile = errors.New("the job was refused at another entry VM")
	// errRefusedAgain means that a job that was refused before isn't readmitted.
	errRefusedAgain = errors.New("the job was refused before")
)

// arrival is what a submission needs to know of the call. A refusal up to version, the newest version
// of the table when the call arrived, was given to an earlier call of the caller, which may
// return. readmit decides whether the job then replaces the refusal.
type arrival struct {
	version platform.Version
	readmit func(firstAt tableTime) bool
}

// alwaysReadmit lets a job replace its refusal.
func alwaysReadmit(tableTime) bool { return true }

// check returns an error if the job may not replace its last refusal.
func (a arrival) check(last refusal) error {
	switch {
	case last.version > a.version:
		return errRefusedMeanwhile
	case last.version != 0 && !a.readmit(last.firstAt):
		return errRefusedAgain
	}
	return nil
}

// submit stores a job once. A job that exists already, in any state, is not stored again;
// that is no error.
func (s *jobStore) submit(ctx context.Context, deadline time.Time, j job.Job, decision contact.Decision) error {
	_, err := s.submitArrived(ctx, deadline, j, decision, arrival{math.MaxUint64, alwaysReadmit})
	return err
}

// submitArrived is submit for a job that may have been refused before. It returns the version of
// the job's row, or 0 if the job existed already.
func (s *jobStore) submitArrived(ctx context.Context, deadline time.Time, j job.Job, decision contact.Decision, a arrival) (platform.Version, error) {
	rows, err := s.lookupBeforeSubmit(ctx, j.ID, decision)
	if err != nil {
		return 0, err
	}
	value, err := s.encodeJob(j)
	if err != nil {
		return 0, err
	}
	if s.rowBytes > 0 && len(value) > s.rowBytes {
		return 0, errors.Wrapf(errTooLarge, "%d bytes after compression, limit %d", len(value), s.rowBytes)
	}
	for range maxCancelAttempts {
		known, last, err := rows.known()
		if known || err != nil {
			return 0, err
		}
		if err := a.check(last); err != nil {
			return 0, err
		}
		version, conflict, err := s.store(ctx, deadline, submissionTransaction(j.ID, value, last.version))
		if err != nil || conflict == nil {
			return version, err
		}
		rows = conflictRows(j.ID, conflict)
		if last.version == 0 && rows == (jobRows{}) {
			// A condition on the absence of a row fails only if it exists.
			return 0, nil
		}
	}
	return 0, errors.Wrap(errOutcomeUnknown, "the job keeps changing")
}

// encodeJob returns the value of a job's row. Jobs are encoded one at a time, since compression takes a
// megabyte besides, and the processor is shared anyway.
func (s *jobStore) encodeJob(j job.Job) ([]byte, error) {
	s.encoding.Lock()
	defer s.encoding.Unlock()
	return encodeRow(j)
}

// submissionTransaction stores a job in the place of its refusal, if it has one.
func submissionTransaction(id job.ID, value []byte, refusal platform.Version) platform.Transaction {
	tx := platform.Transaction{
		Conditions: []platform.Condition{{RowKey: jobKey(id)}, {RowKey: cancelKey(id), Version: refusal}},
		Writes:     []platform.Write{{RowKey: jobKey(id), Value: value}},
	}
	if refusal != 0 {
		tx.Removals = []platform.RowKey{cancelKey(id)}
	}
	return tx
}

// sawVersion reports a version of the table that an answer contained.
func (s *jobStore) sawVersion(v platform.Version) {
	if s.onVersion != nil {
		s.onVersion(v)
	}
}

// store applies a transaction on a job's rows. A condition that fails is no error.
func (s *jobStore) store(ctx context.Context, deadline time.Time, tx platform.Transaction) (version platform.Version, conflict *platform.ConflictError, err error) {
	maybeApplied, err := s.withRetries(ctx, deadline, tx.Conditions[0].Partition, func(ctx context.Context) (err error) {
		version, err = s.table.Apply(ctx, tx)
		return err
	})
	switch {
	case err == nil:
		s.sawVersion(version)
		return version, nil, nil
	case errors.As(err, &conflict):
		for i := range conflict.Rows {
			s.sawVersion(conflict.Rows[i].Version)
		}
		return 0, conflict, nil
	case maybeApplied:
		return 0, nil, errors.Wrap(errOutcomeUnknown, err.Error())
	}
	return 0, nil, err
}
