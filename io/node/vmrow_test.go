package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// Guards against a wait that ends early for the next owner, whose clock differs and whose reading
// of the table's clock took long.
func TestStoredLeaseEndsNoEarlierForNextOwner(t *testing.T) {
	writer, reader, at := twoOwnersClocks()
	end := at(6000)
	stored := encodedVMRow(t, schedule.RosterVM{ID: "v", Lease: &schedule.RosterLease{End: end, Jobs: map[job.ID]time.Time{"a": end, "b": at(4500)}}}, writer)
	v := stored.roster(reader)
	assert.Assert(t, !v.Lease.End.Before(end))
	assert.Assert(t, v.Lease.End.Sub(end) < 700*time.Millisecond, "%s", v.Lease.End.Sub(end))
	assert.Equal(t, v.Lease.Jobs["a"], v.Lease.End)
	assert.Assert(t, !v.Lease.Jobs["b"].Before(at(4500)) && v.Lease.Jobs["b"].Before(end))
	assert.Assert(t, !v.Lease.AnyJob)
}

// encodedVMRow returns the row of a VM after it was encoded and decoded.
func encodedVMRow(t *testing.T, v schedule.RosterVM, clock *tableClock) vmRow {
	t.Helper()
	value, err := encodeRow(rowChangeFor(schedule.SaveVM{VM: v}, clock).value)
	assert.NilError(t, err)
	out, err := decodeRow[vmRow](&platform.Row{Value: value})
	assert.NilError(t, err)
	return out
}

// Guards against a lease that counts as over because no reading of the table's clock is known.
func TestLeaseWithoutTableClockIsNotStored(t *testing.T) {
	r := encodedVMRow(t, schedule.RosterVM{ID: "v", Lease: &schedule.RosterLease{End: bootNow()}}, &tableClock{})
	assert.Assert(t, r.Lease == nil)
	stored := vmRow{RosterVM: schedule.RosterVM{ID: "v"}, Lease: &vmLeaseRow{End: 7}}
	assert.Assert(t, stored.roster(&tableClock{}).Lease == nil)
}
