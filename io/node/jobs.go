package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/contact"
	"lavenderpond/core/job"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// callLeast is the shortest wait for one answer of the table, which answers in
	// about 4 ms.
	callLeast = 300 * time.Millisecond
	// freshContact is how old the table's last word may be for a submission to be
	// sent at once; before others the table is asked for the job.
	freshContact = 100 * time.Millisecond
	// askWithin bounds that question, askUnlessSlow is the usual time of an answer
	// from which on it would cost more than it saves.
	askWithin     = 250 * time.Millisecond
	askUnlessSlow = 50 * time.Millisecond
	// probeWithin bounds a call that finds out whether the table is back; its caller
	// can go to another entry VM meanwhile. It covers an answer of a slow table.
	probeWithin = 400 * time.Millisecond
	// callPause is the pause before a call is tried again.
	callPause = 40 * time.Millisecond
	// refuseAfter is how long a refused or unreachable table is tried again
	// before the caller is told to come back: it may be this entry VM alone that
	// is turned away, and another one can serve.
	refuseAfter = 400 * time.Millisecond
)

// errUnknown says that a request may or may not have been stored.
var errUnknown = errors.New("it is not known whether the request was stored")

// errNotStored says that a request was not stored and never will be.
var errNotStored = errors.New("the request was not stored")

// jobStore hands jobs in, shows and cancels them, in the table.
type jobStore struct {
	table *platform.Table
	took  func(d time.Duration)
	reach *reach
	// rowBytes is the largest row that the table takes; 0 means that it isn't known.
	rowBytes int

	answers answerTimes
}

// attempt calls f, which needs a part of the table, until it succeeds, fails for good,
// or until is reached. maybe tells whether an attempt without an answer may have been
// carried out.
func (s *jobStore) attempt(ctx context.Context, until time.Time, part string, f func(ctx context.Context) error) (maybe bool, err error) {
	giveUp := bootNow().Add(refuseAfter)
	for wait := s.answers.patience(callLeast); ; wait *= 2 {
		now := bootNow()
		if !now.Before(until) && !maybe {
			// Nothing was sent, or all that was sent was refused.
			return false, errors.Wrap(errNotStored, "out of time")
		}
		if !now.Before(until) {
			return maybe, errors.Wrap(errUnknown, "out of time")
		}
		callCtx, cancel := context.WithTimeout(ctx, min(wait, until.Sub(now)))
		err = f(callCtx)
		cancel()
		took := bootNow().Sub(now)
		s.took(took)
		s.answers.learn(took, !errors.Is(err, platform.ErrNoAnswer))
		if err == nil || until.Sub(now) >= wait {
			// A call that ended with its caller's patience says nothing of the part.
			s.note(part, err)
		}
		refused := errors.Is(err, platform.ErrBusy) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrNotSent)
		switch {
		case refused && !maybe && bootNow().After(giveUp):
			return false, errors.Wrap(errNotStored, err.Error())
		case refused:
		case errors.Is(err, platform.ErrNoAnswer):
			maybe = true
		default:
			return maybe, err
		}
		if !supervisor.Sleep(ctx, callPause) {
			return maybe, errors.Wrap(errUnknown, "stopping")
		}
	}
}

// note takes in what came of a call to a part. A table that is busy is there.
func (s *jobStore) note(part string, err error) {
	var conflict *platform.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict):
		s.reach.heard(part)
	case errors.Is(err, platform.ErrNoAnswer), errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrNotSent):
		s.reach.failed(part)
	}
}

// errTooLarge says that a job is larger than a row of the table.
var errTooLarge = errors.New("the job is too large to be stored")

// errSilent says that the table didn't answer a question.
var errSilent = errors.New("the table does not answer")

// ask finds out whether the table can be reached, if its last word isn't fresh,
// and whether it has the job. A submission that is sent into a partition can't be
// refused any more, since it may be carried out later, and its caller can't try
// again elsewhere: 44 of 3,400 jobs were lost so when a zone was cut off. After a
// question without an answer nothing has been sent, and the caller goes elsewhere.
func (s *jobStore) ask(ctx context.Context, id job.ID, v contact.Decision) (known bool, err error) {
	if v == contact.Call && (s.reach.age() < freshContact || s.answers.slowerThan(askUnlessSlow)) {
		return false, nil
	}
	within := askWithin
	if v == contact.Probe {
		within = probeWithin
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	from := bootNow()
	snapshot, err := s.table.List(ctx, rowsOf(id))
	s.took(bootNow().Sub(from))
	s.note(jobPart(id), err)
	switch {
	case errors.Is(err, platform.ErrNoAnswer):
		return false, errors.Wrap(errNotStored, errSilent.Error())
	case err != nil:
		// A refusal says that the table can be reached.
		return false, nil //nolint:nilerr // The submission itself will be refused, and tries again.
	}
	return len(snapshot.Rows) > 0, nil
}

// rowsOf is the range of a job's rows as handed in.
func rowsOf(id job.ID) platform.Range {
	return platform.Range{
		Table: jobTable, Part: jobPart(id), From: cancelKey(id).Key, To: jobKey(id).Key + "\x00",
	}
}

// submit stores a job once. A job that is there already, in any state, is not
// stored again; that is no error.
func (s *jobStore) submit(ctx context.Context, until time.Time, j job.Job, v contact.Decision) error {
	if known, err := s.ask(ctx, j.ID, v); known || err != nil {
		return err
	}
	value, err := encode(j)
	if err != nil {
		return err
	}
	if s.rowBytes > 0 && len(value) > s.rowBytes {
		return errors.Wrapf(errTooLarge, "%d bytes, compressed, of %d", len(value), s.rowBytes)
	}
	tx := platform.Transaction{
		Conditions: []platform.Condition{{RowKey: jobKey(j.ID)}, {RowKey: cancelKey(j.ID)}},
		Writes:     []platform.Write{{RowKey: jobKey(j.ID), Value: value}},
	}
	maybe, err := s.attempt(ctx, until, jobPart(j.ID), func(ctx context.Context) error {
		_, err := s.table.Apply(ctx, tx)
		return err
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict):
		return nil
	case maybe:
		return errors.Wrap(errUnknown, err.Error())
	}
	return err
}

// show returns a job's state; known is false if there is no such job.
func (s *jobStore) show(ctx context.Context, until time.Time, id job.ID) (state job.State, known bool, err error) {
	p, j, c, err := s.read(ctx, until, id)
	switch {
	case err != nil:
		return 0, false, err
	case p != nil:
		progress, err := decodeRow[job.Progress](p)
		return progress.State, true, err
	case c != nil && j != nil:
		return job.Cancelled, true, nil
	}
	return job.Pending, j != nil, nil
}

// read returns a job's rows, those as handed in only if there is no progress yet.
func (s *jobStore) read(ctx context.Context, until time.Time, id job.ID) (progress, handedIn, cancelled *platform.Row, err error) {
	if progress, err = s.get(ctx, until, progressKey(id)); err != nil || progress != nil {
		return progress, nil, nil, err
	}
	handedIn, cancelled, err = s.getJob(ctx, until, id)
	return nil, handedIn, cancelled, err
}

func (s *jobStore) get(ctx context.Context, until time.Time, k platform.RowKey) (row *platform.Row, err error) {
	_, err = s.attempt(ctx, until, k.Part, func(ctx context.Context) error {
		row, _, err = s.table.Get(ctx, k)
		return err
	})
	return row, err
}

// getJob reads the job as handed in and its cancellation in one call.
func (s *jobStore) getJob(ctx context.Context, until time.Time, id job.ID) (handedIn, cancelled *platform.Row, err error) {
	_, err = s.attempt(ctx, until, jobPart(id), func(ctx context.Context) error {
		snapshot, err := s.table.List(ctx, rowsOf(id))
		if err != nil {
			return err
		}
		for i := range snapshot.Rows {
			switch row := &snapshot.Rows[i]; row.Key {
			case jobKey(id).Key:
				handedIn = row
			case cancelKey(id).Key:
				cancelled = row
			}
		}
		return nil
	})
	return handedIn, cancelled, err
}

// cancel stores that a job is not wanted any more; known is false if there is
// no such job. An unknown one is marked too, so that its submission can't be
// stored later by a call that is still on its way.
func (s *jobStore) cancel(ctx context.Context, until time.Time, id job.ID) (known bool, err error) {
	for range cancelRounds {
		p, err := s.get(ctx, until, progressKey(id))
		if err != nil {
			return false, err
		}
		if p != nil {
			progress, err := decodeRow[job.Progress](p)
			if err != nil || progress.State.Final() {
				return true, err
			}
		}
		j, c, err := s.getJob(ctx, until, id)
		if err != nil {
			return false, err
		}
		if c != nil {
			return j != nil, nil
		}
		stored, err := s.storeCancel(ctx, until, id, j)
		if err != nil || stored {
			return j != nil, err
		}
	}
	return false, errors.Wrap(errUnknown, "the job changes all the time")
}

// cancelRounds bounds how often a cancellation starts anew when the job's rows
// change between reading and writing: they are written once each.
const cancelRounds = 3

// storeCancel writes the cancellation if the job's row is still as read.
func (s *jobStore) storeCancel(ctx context.Context, until time.Time, id job.ID, j *platform.Row) (bool, error) {
	version := platform.Version(0)
	if j != nil {
		version = j.Version
	}
	tx := platform.Transaction{
		Conditions: []platform.Condition{{RowKey: jobKey(id), Version: version}},
		Writes:     []platform.Write{{RowKey: cancelKey(id), Value: []byte("{}")}},
	}
	_, err := s.attempt(ctx, until, jobPart(id), func(ctx context.Context) error {
		_, err := s.table.Apply(ctx, tx)
		return err
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// backlog returns the number of a queue's jobs that haven't begun, as the owner
// last wrote it.
func (s *jobStore) backlog(ctx context.Context, until time.Time) (renewalRow, platform.Version, error) {
	row, err := s.get(ctx, until, renewalKey)
	if err != nil || row == nil {
		return renewalRow{}, 0, err
	}
	r, err := decodeRow[renewalRow](row)
	return r, row.Version, err
}
