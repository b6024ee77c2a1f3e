package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// Guards against usage that a new owner can't read as the former one stored it, and against one
// unreadable row that keeps it from reading the others.
func TestStoredSharesAreReadAsTheyWereWritten(t *testing.T) {
	usage := fairshare.StoredUsage{StoredAt: time.UnixMilli(1_800_000_000_123).UTC(), Accounts: map[job.AccountName]job.Resources{"a": {CPU: 1500, MemMB: 20}}}
	changes := latestChanges([]schedule.Command{
		schedule.SaveShares{Sequence: 1, Pool: "frames"},
		schedule.SaveShares{Sequence: 2, Pool: "frames", Usage: usage},
	})
	assert.Equal(t, len(changes), 1)
	value, err := encodeRow(changes[0].value)
	assert.NilError(t, err)
	rows := []platform.Row{{RowKey: changes[0].key, Value: value}, {RowKey: shareKey("other"), Value: []byte("{")}}
	assert.DeepEqual(t, decodeRows[fairshare.StoredUsage](rows, zerolog.Nop()), map[string]fairshare.StoredUsage{"frames": usage})
}
