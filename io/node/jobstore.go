package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// minCallTimeout is the shortest wait for one answer of the table, which answers in
	// about 4 ms.
	minCallTimeout = 300 * time.Millisecond
	// maxAnswerAge is how recently the table must have answered for a submission to be
	// sent immediately. Otherwise the job is first looked up in the table.
	maxAnswerAge = 100 * time.Millisecond
	// lookupTimeout bounds the lookup before a submission. If the table's typical latency
	// exceeds lookupMaxLatency, the lookup would cost more than it saves.
	lookupTimeout    = 250 * time.Millisecond
	lookupMaxLatency = 50 * time.Millisecond
	// probeTimeout bounds a call that probes whether the table is available again. It is
	// short because the caller could go to another entry VM meanwhile, and long enough for
	// an answer of a slow table.
	probeTimeout = 400 * time.Millisecond
	// callRetryDelay is the pause before a call is retried.
	callRetryDelay = 40 * time.Millisecond
	// refusalTimeout is how long calls to a refusing or unreachable table are retried
	// before the caller is told to retry later. The table may turn away only this entry
	// VM, so another one can serve the caller.
	refusalTimeout = 400 * time.Millisecond
)

// errOutcomeUnknown means that a request may or may not have been stored.
var errOutcomeUnknown = errors.New("it is not known whether the request was stored")

func isOutcomeUnknown(err error) bool { return errors.Is(err, errOutcomeUnknown) }

// errNotStored means that a request was not stored and never will be.
var errNotStored = errors.New("the request was not stored")

// jobStore submits, shows and cancels jobs in the table.
type jobStore struct {
	table         *platform.Table
	recordLatency func(d time.Duration)
	health        *tableHealth
	// rowBytes is the size of the largest row that the table accepts; 0 means that it
	// isn't known.
	rowBytes int
	// onVersion receives the table's versions in the answers to submissions and refusals, from
	// which later calls know that refusals are older than they are; it may be nil.
	onVersion func(v platform.Version)

	latency latencyEstimator
	// encoding is held while a job is encoded.
	encoding sync.Mutex
}

// withRetries calls call, which accesses a partition of the table, until it succeeds,
// fails permanently, or the deadline passes. maybeApplied reports whether an attempt
// without an answer may have been applied.
func (s *jobStore) withRetries(ctx context.Context, deadline time.Time, partition string, call func(ctx context.Context) error) (maybeApplied bool, err error) {
	giveUpAt := bootNow().Add(refusalTimeout)
	for timeout := s.latency.timeout(minCallTimeout); ; timeout *= 2 {
		now := bootNow()
		if !now.Before(deadline) && !maybeApplied {
			// Nothing was sent, or everything that was sent was refused.
			return false, errors.Wrap(errNotStored, "deadline exceeded")
		}
		if !now.Before(deadline) {
			return maybeApplied, errors.Wrap(errOutcomeUnknown, "deadline exceeded")
		}
		callCtx, cancel := context.WithTimeout(ctx, min(timeout, deadline.Sub(now)))
		err = call(callCtx)
		cancel()
		took := bootNow().Sub(now)
		s.recordLatency(took)
		s.latency.observe(took, !errors.Is(err, platform.ErrNoAnswer))
		if err == nil || deadline.Sub(now) >= timeout {
			// A call that was cut short by its caller's deadline says nothing about the
			// partition.
			s.recordOutcome(partition, err)
		}
		refused := errors.Is(err, platform.ErrBusy) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrNotSent)
		switch {
		case refused && !maybeApplied && bootNow().After(giveUpAt):
			return false, errors.Wrap(errNotStored, err.Error())
		case refused:
		case errors.Is(err, platform.ErrNoAnswer):
			maybeApplied = true
		case platform.RefusedForGood(err) && !maybeApplied:
			return false, errors.Wrap(errNotStored, err.Error())
		default:
			return maybeApplied, err
		}
		if !supervisor.Sleep(ctx, callRetryDelay) {
			return maybeApplied, errors.Wrap(errOutcomeUnknown, "stopping")
		}
	}
}

// recordOutcome updates the table's health from the outcome of a call to a partition. A
// busy table is reachable, so it doesn't count as a failure.
func (s *jobStore) recordOutcome(partition string, err error) {
	var conflict *platform.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict):
		s.health.recordAnswer(partition)
	case errors.Is(err, platform.ErrNoAnswer), errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrNotSent):
		s.health.recordFailure(partition)
	}
}

// show returns a job's state. known is false if there is no such job.
func (s *jobStore) show(ctx context.Context, deadline time.Time, id job.ID) (state job.State, known bool, err error) {
	progressRow, jobRow, cancelRow, err := s.read(ctx, deadline, id)
	switch {
	case err != nil:
		return 0, false, err
	case progressRow != nil:
		progress, err := decodeRow[job.Progress](progressRow)
		return progress.State, true, err
	case cancelRow != nil && jobRow != nil:
		return job.Cancelled, true, nil
	}
	return job.Pending, jobRow != nil, nil
}

// read returns a job's rows. The submitted job and its cancellation are read only if there
// is no progress yet.
func (s *jobStore) read(ctx context.Context, deadline time.Time, id job.ID) (progress, submitted, cancellation *platform.Row, err error) {
	if progress, err = s.get(ctx, deadline, progressKey(id)); err != nil || progress != nil {
		return progress, nil, nil, err
	}
	submitted, cancellation, err = s.getJob(ctx, deadline, id)
	return nil, submitted, cancellation, err
}

func (s *jobStore) get(ctx context.Context, deadline time.Time, k platform.RowKey) (row *platform.Row, err error) {
	_, err = s.withRetries(ctx, deadline, k.Partition, func(ctx context.Context) error {
		row, _, err = s.table.Get(ctx, k)
		return err
	})
	return row, err
}

// getJob reads the submitted job and its cancellation in one call.
func (s *jobStore) getJob(ctx context.Context, deadline time.Time, id job.ID) (submitted, cancellation *platform.Row, err error) {
	_, err = s.withRetries(ctx, deadline, jobPartition(id), func(ctx context.Context) error {
		snapshot, err := s.table.List(ctx, jobRowRange(id))
		if err != nil {
			return err
		}
		for i := range snapshot.Rows {
			switch row := &snapshot.Rows[i]; row.Key {
			case jobKey(id).Key:
				submitted = row
			case cancelKey(id).Key:
				cancellation = row
			}
		}
		return nil
	})
	return submitted, cancellation, err
}

// cancel stores that a job is cancelled. known is false if there is no such job. An
// unknown job is marked too, so that a submission that is still in flight can't be stored
// later.
func (s *jobStore) cancel(ctx context.Context, deadline time.Time, id job.ID) (known bool, err error) {
	for range maxCancelAttempts {
		progressRow, err := s.get(ctx, deadline, progressKey(id))
		if err != nil {
			return false, err
		}
		if progressRow != nil {
			progress, err := decodeRow[job.Progress](progressRow)
			if err != nil || progress.State.Final() {
				return true, err
			}
		}
		jobRow, cancelRow, err := s.getJob(ctx, deadline, id)
		if err != nil {
			return false, err
		}
		_, refused, err := decodeRefusal(cancelRow)
		if err != nil {
			return false, err
		}
		if cancelRow != nil && !refused {
			return jobRow != nil, nil
		}
		stored, err := s.storeCancellation(ctx, deadline, id, jobRow)
		if err != nil || stored {
			return jobRow != nil, err
		}
	}
	return false, errors.Wrap(errOutcomeUnknown, "the job keeps changing")
}

// maxCancelAttempts bounds how often a cancellation is restarted because the job's rows
// changed between the read and the write. Each row is written once.
const maxCancelAttempts = 3

// storeCancellation writes the cancellation if the job's row is unchanged since it was
// read. It reports whether the cancellation was stored.
func (s *jobStore) storeCancellation(ctx context.Context, deadline time.Time, id job.ID, jobRow *platform.Row) (bool, error) {
	version := platform.Version(0)
	if jobRow != nil {
		version = jobRow.Version
	}
	tx := platform.Transaction{
		Conditions: []platform.Condition{{RowKey: jobKey(id), Version: version}},
		Writes:     []platform.Write{{RowKey: cancelKey(id), Value: []byte("{}")}},
	}
	_, err := s.withRetries(ctx, deadline, jobPartition(id), func(ctx context.Context) error {
		_, err := s.table.Apply(ctx, tx)
		return err
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// backlog returns the renewal row and its version. The row holds the number of jobs per
// queue that haven't begun, as the owner last counted them.
func (s *jobStore) backlog(ctx context.Context, deadline time.Time) (renewalRow, platform.Version, error) {
	row, err := s.get(ctx, deadline, renewalKey)
	if err != nil || row == nil {
		return renewalRow{}, 0, err
	}
	r, err := decodeRow[renewalRow](row)
	return r, row.Version, err
}
