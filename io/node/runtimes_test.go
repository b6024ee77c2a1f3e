package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/forecast"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// Guards against run times that a new owner can't read as the former one stored them, and against
// rows that outgrow the table's limit.
func TestStoredRunTimesAreReadAsTheyWereWritten(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_123).UTC()
	var f forecast.Queue
	for i := range 1000 {
		for _, d := range []*forecast.Distribution{&f.Times, &f.Ratios, &f.Sizes} {
			assert.NilError(t, d.Add(at, float64(1+i)))
		}
	}
	stored := schedule.StoredRunTimes{StoredAt: at, Snapshot: f.Snapshot()}
	changes := latestChanges([]schedule.Command{
		schedule.SaveRunTimes{Sequence: 1, Queue: "frames"},
		schedule.SaveRunTimes{Sequence: 2, Queue: "frames", RunTimes: stored},
	}, &tableClock{})
	assert.Equal(t, len(changes), 1)
	value, err := encodeRow(changes[0].value)
	assert.NilError(t, err)
	assert.Assert(t, len(value) < 5<<10, "%d bytes", len(value))
	rows := []platform.Row{{RowKey: changes[0].key, Value: value}, {RowKey: runTimeKey("other"), Value: []byte("{")}}
	assert.DeepEqual(t, decodeRows[schedule.StoredRunTimes](rows, zerolog.Nop()), map[string]schedule.StoredRunTimes{"frames": stored})
}
