package platform

import (
	"context"
	"time"

	"lavenderpond/core"
)

// listEntryBytes is the approximate size of a VM's record in the live list.
const listEntryBytes = 48

// listPoller spaces the polls of a zone's live list, which is always sent whole, so that
// they read no more than BytesPerSecond. A zone of 1,430 VMs has a list of 70 KB, and a
// daemon may use 10 KB per second for all its control traffic. Rows and connections show
// a leaving VM sooner than a list that is read less often.
type listPoller struct {
	BytesPerSecond int
	nextPoll       time.Time
}

// poll returns the list, or false if it isn't due or can't be read.
func (p *listPoller) poll(ctx context.Context, now time.Time, live LiveList, zone core.ZoneID) ([]Liveness, bool, error) {
	if now.Before(p.nextPoll) {
		return nil, false, nil
	}
	vms, err := live.Live(ctx, zone)
	if err != nil {
		return nil, false, err
	}
	p.nextPoll = now.Add(time.Duration(len(vms)*listEntryBytes) * time.Second / time.Duration(p.BytesPerSecond))
	return vms, true, nil
}
