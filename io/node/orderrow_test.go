package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// encodedOrderRow returns the value of an order's row.
func encodedOrderRow(t *testing.T, o schedule.MachineOrder, clock *tableClock) []byte {
	t.Helper()
	value, err := encodeRow(rowChangeFor(schedule.SaveOrder{Order: o}, clock).value)
	assert.NilError(t, err)
	return value
}

// decodedOrder returns the order in a row as an owner with the clock reads it.
func decodedOrder(t *testing.T, value []byte, clock *tableClock) schedule.MachineOrder {
	t.Helper()
	r, err := decodeRow[orderRow](&platform.Row{Value: value})
	assert.NilError(t, err)
	return r.order(clock)
}

// Guards against a machine ordered too soon by the next owner, whose clock differs.
func TestOrderIsNoOlderForNextOwner(t *testing.T) {
	writer, reader, at := twoOwnersClocks()
	o := schedule.MachineOrder{Machine: "m", Issuer: "n", SentBefore: at(400)}
	got := decodedOrder(t, encodedOrderRow(t, o, writer), reader)
	assert.Equal(t, got.Machine, o.Machine)
	assert.Equal(t, got.Issuer, o.Issuer)
	late := got.SentBefore.Sub(o.SentBefore)
	assert.Assert(t, late >= 0 && late < 700*time.Millisecond, "%s", late)
}

// Guards against an order that counts as old because its time or the table's clock isn't known.
func TestOrderWithoutTimeHasNone(t *testing.T) {
	var known, unknown tableClock
	known.observe(5000, bootNow(), bootNow())
	timed := schedule.MachineOrder{Machine: "m", Issuer: "n", SentBefore: bootNow()}
	untimed := schedule.MachineOrder{Machine: "m", Issuer: "n"}
	const withoutTime = `{"machine":"m","holder":"n"}`
	assert.Equal(t, string(encodedOrderRow(t, untimed, &known)), withoutTime)
	assert.Equal(t, string(encodedOrderRow(t, timed, &unknown)), withoutTime)
	assert.Equal(t, decodedOrder(t, []byte(withoutTime), &known), untimed)
	assert.Equal(t, decodedOrder(t, encodedOrderRow(t, timed, &known), &unknown), untimed)
}
