package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

// waveStatusRetryDelay is the pause after a wave's state couldn't be published.
const waveStatusRetryDelay = 100 * time.Millisecond

// waveStatuses holds the states of waves that are to be published. Only one call at a time publishes
// the state of a wave. The zero value is empty.
type waveStatuses struct {
	mu sync.Mutex
	// latest holds the state to publish of each wave that a call publishes now.
	latest map[int64]schedule.PublishWave
}

// set sets the state to publish, and reports whether the caller has to publish it because no other
// call does.
func (w *waveStatuses) set(c schedule.PublishWave) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latest == nil {
		w.latest = map[int64]schedule.PublishWave{}
	}
	former, busy := w.latest[c.Wave]
	if busy && supersedes(former, c) {
		return false
	}
	w.latest[c.Wave] = c
	return !busy
}

// supersedes reports whether state a is later than state b of the same wave. Commands may be executed in
// another order than they were given in.
func supersedes(a, b schedule.PublishWave) bool {
	return a.Revision > b.Revision || (a.Revision == b.Revision && a.State == job.WaveCompleted)
}

// get returns the state to publish.
func (w *waveStatuses) get(number int64) schedule.PublishWave {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest[number]
}

// finish ends the publication of a state, and reports whether it is still the latest one.
func (w *waveStatuses) finish(c schedule.PublishWave) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latest[c.Wave] != c {
		return false
	}
	delete(w.latest, c.Wave)
	return true
}

// publishWave publishes a wave's state and retries until it is stored or the wave has another definition.
func (o *owner) publishWave(ctx context.Context, c schedule.PublishWave) {
	if !o.waveStatuses.set(c) {
		return
	}
	for ctx.Err() == nil {
		latest := o.waveStatuses.get(c.Wave)
		err := o.storeWaveStatus(ctx, latest)
		if err != nil {
			o.log.Warn().Err(err).Str("event", "wave_status_failed").Int64("wave", c.Wave).
				Uint64("revision", uint64(latest.Revision)).Str("state", latest.State.String()).Send()
		}
		if err != nil && !platform.RefusedForGood(err) && !errors.Is(err, errWaveRedefined) {
			supervisor.Sleep(ctx, waveStatusRetryDelay)
			continue
		}
		if o.waveStatuses.finish(latest) {
			return
		}
	}
}

// errWaveRedefined means that a state belongs to a definition of the wave that isn't in force.
var errWaveRedefined = errors.New("wave has another definition")

// storeWaveStatus stores a wave's state unless it is stored already or the wave is completed. Its
// conditions keep a write that is executed late from undoing a later one, and from saying that a wave
// is completed whose definition has changed.
func (o *owner) storeWaveStatus(ctx context.Context, c schedule.PublishWave) error {
	ctx, cancel := context.WithTimeout(ctx, tableWriteTimeout)
	defer cancel()
	write := platform.WaveStatus(c.Wave, c.State)
	row, _, err := o.node.table.Get(ctx, write.RowKey)
	if err != nil {
		return err
	}
	status := platform.Condition{RowKey: write.RowKey}
	if row != nil {
		if waveStatusStands(*row, c) {
			return nil
		}
		status.Version = row.Version
	}
	definition := platform.Condition{RowKey: platform.WaveKey(c.Wave), Version: platform.Version(c.Revision)}
	_, err = o.node.table.Apply(ctx, platform.Transaction{Conditions: []platform.Condition{status, definition}, Writes: []platform.Write{write}})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		if d := conflict.Row(definition.RowKey); d == nil || d.Version != definition.Version {
			return errors.Wrapf(errWaveRedefined, "wave %d", c.Wave)
		}
	}
	return err
}

// waveStatusStands reports whether the stored state needs no write. A status that is older than the
// definition of the wave says nothing about it.
func waveStatusStands(row platform.Row, c schedule.PublishWave) bool {
	stored, err := platform.DecodeWaveStatus(row)
	if err != nil || row.Version < platform.Version(c.Revision) {
		return false
	}
	return stored == c.State || stored == job.WaveCompleted
}
