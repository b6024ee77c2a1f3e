package node

import (
	"context"
	"sync"
	"time"

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
	latest map[int64]job.WaveState
}

// set sets the state to publish, and reports whether the caller has to publish it because no other
// call does.
func (w *waveStatuses) set(number int64, s job.WaveState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latest == nil {
		w.latest = map[int64]job.WaveState{}
	}
	_, busy := w.latest[number]
	w.latest[number] = s
	return !busy
}

// get returns the state to publish.
func (w *waveStatuses) get(number int64) job.WaveState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest[number]
}

// finish ends the publication of a state, and reports whether it is still the latest one.
func (w *waveStatuses) finish(number int64, s job.WaveState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latest[number] != s {
		return false
	}
	delete(w.latest, number)
	return true
}

// publishWave publishes a wave's state and retries until it is stored.
func (o *owner) publishWave(ctx context.Context, c schedule.PublishWave) {
	if !o.waveStatuses.set(c.Wave, c.State) {
		return
	}
	for ctx.Err() == nil {
		state := o.waveStatuses.get(c.Wave)
		err := o.storeWaveStatus(ctx, c.Wave, state)
		if err != nil {
			o.log.Warn().Err(err).Str("event", "wave_status_failed").Int64("wave", c.Wave).Str("state", state.String()).Send()
		}
		if err != nil && !platform.RefusedForGood(err) {
			supervisor.Sleep(ctx, waveStatusRetryDelay)
			continue
		}
		if o.waveStatuses.finish(c.Wave, state) {
			return
		}
	}
}

// storeWaveStatus stores a wave's state unless it is stored already or the wave is completed. Its
// condition keeps a write that is executed late from undoing a later one.
func (o *owner) storeWaveStatus(ctx context.Context, number int64, s job.WaveState) error {
	ctx, cancel := context.WithTimeout(ctx, tableWriteTimeout)
	defer cancel()
	write := platform.WaveStatus(number, s)
	row, _, err := o.node.table.Get(ctx, write.RowKey)
	if err != nil {
		return err
	}
	condition := platform.Condition{RowKey: write.RowKey}
	if row != nil {
		stored, err := platform.DecodeWaveStatus(*row)
		if err == nil && (stored == s || stored == job.WaveCompleted) {
			return nil
		}
		condition.Version = row.Version
	}
	_, err = o.node.table.Apply(ctx, platform.Transaction{Conditions: []platform.Condition{condition}, Writes: []platform.Write{write}})
	return err
}
