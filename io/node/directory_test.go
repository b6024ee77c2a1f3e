package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// Guards against a VM that still gets tasks by an entry that was replaced by one that
// can't be read.
func TestDamagedEntryNamesNoVM(t *testing.T) {
	o := &owner{log: zerolog.Nop(), scheduler: schedule.New(schedule.Settings{})}
	take := func(value string) {
		row := platform.Row{RowKey: platform.RowKey{Key: "vm-1"}, Value: []byte(value)}
		o.takeVMs(time.Now(), vmsChanged{rows: []platform.Row{row}})
	}
	good := `{"service":"p","address":"10.1.1.1:80","state":"ready","capacity":{"cpu":8000},"born":5}`
	take(good)
	assert.DeepEqual(t, o.scheduler.VMs(), []job.VMID{"vm-1"})
	take(`{"service":"p","address":"10.1.1.1:80","state":"ready","born":5}`)
	assert.Equal(t, len(o.scheduler.VMs()), 0)
	take(good)
	assert.DeepEqual(t, o.scheduler.VMs(), []job.VMID{"vm-1"})
}
