package node

import "lavenderpond/core/schedule"

// orderRow is a machine that was given an order recently.
type orderRow struct {
	schedule.MachineOrder
	// SentBefore is that of the order, as a time of the table's clock.
	SentBefore tableTime `json:"sent_before,omitempty"`
}

// newOrderRow returns the row of an order. Without a reading of the table's clock it has no time.
func newOrderRow(o schedule.MachineOrder, clock *tableClock) orderRow {
	r := orderRow{MachineOrder: o}
	if !o.SentBefore.IsZero() {
		r.SentBefore = clock.latestAt(o.SentBefore)
	}
	return r
}

// order returns the order with its time in the time of this process.
func (r orderRow) order(clock *tableClock) schedule.MachineOrder {
	o := r.MachineOrder
	if r.SentBefore != 0 {
		o.SentBefore, _ = clock.surelyAt(r.SentBefore)
	}
	return o
}
