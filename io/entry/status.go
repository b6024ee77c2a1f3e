package entry

import (
	"context"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/home"
	"lavenderpond/core/key"
	"lavenderpond/io/operator"
	"lavenderpond/io/peer"
	"lavenderpond/io/supervisor"
)

// statusTimeout is the time limit for the status query to one other entry.
const statusTimeout = time.Second

// backend implements operator.Backend for the operators' service.
type backend struct{ *Daemon }

var _ operator.Backend = backend{}

// StatusName is the net/rpc service name of StatusReceiver.
const StatusName = "Status"

// StatusReceiver is the net/rpc service from which peers query this entry's status when
// an operator asks for the status of the fleet.
type StatusReceiver struct{ daemon *Daemon }

// Get returns this entry's status.
func (r *StatusReceiver) Get(_ struct{}, reply *operator.EntryStatus) error {
	*reply = r.daemon.status()
	return nil
}

// status returns this entry's status.
func (d *Daemon) status() operator.EntryStatus {
	s := operator.EntryStatus{
		Entry: d.id, Zone: d.settings.Entry.Zone, Reachable: true,
		Version: d.config.Version(),
		// KeysFreshUntil is CutOffBound after the last evidence that the key list was
		// up to date.
		KeysFreshAt: d.config.KeysFreshUntil().Add(-d.settings.Keys.CutOffBound),
		Shards:      d.shards.HeldCount(),
	}
	d.requests.WithLock(func(h *home.Home) { s.Teams = teamLoads(h.Loads()) })
	return s
}

func teamLoads(loads []home.Load) []operator.TeamLoad {
	var list []operator.TeamLoad
	for _, l := range loads {
		list = append(list, operator.TeamLoad{Team: l.Team, Running: l.Running, Queued: l.Queued})
	}
	return list
}

// Fleet implements operator.Backend.
func (b backend) Fleet(ctx context.Context) []operator.EntryStatus {
	list := []operator.EntryStatus{b.status()}
	others := b.otherMembers()
	replies := make([]operator.EntryStatus, len(others))
	var g supervisor.Group
	for i, m := range others {
		g.Go(func() { replies[i] = b.fetchStatus(ctx, m) })
	}
	g.Wait()
	return append(list, replies...)
}

// fetchStatus queries the status of another entry. If the entry does not answer, the
// result has Reachable unset.
func (b backend) fetchStatus(ctx context.Context, m peer.Member) operator.EntryStatus {
	if m.Entry == "" {
		return operator.EntryStatus{Zone: m.Zone}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var reply operator.EntryStatus
	if err := b.peers.Call(ctx, m.Address, StatusName+".Get", struct{}{}, &reply); err != nil {
		return operator.EntryStatus{Entry: m.Entry, Zone: m.Zone}
	}
	return reply
}

// otherMembers returns the other entries of the fleet. For another zone without any
// known entry it returns one member with an empty Entry, so that the zone is reported to
// the operator as unreachable instead of being left out.
func (b backend) otherMembers() []peer.Member {
	var others []peer.Member
	for _, zone := range b.settings.Entry.Zones {
		members := b.members(zone)
		if len(members) == 0 && zone != b.settings.Entry.Zone {
			members = []peer.Member{{Zone: zone}}
		}
		for _, m := range members {
			if m.Entry != b.id {
				others = append(others, m)
			}
		}
	}
	return others
}

// Withdraw implements operator.Backend.
func (b backend) Withdraw(ctx context.Context, w key.Withdrawal) []operator.Confirmation {
	if w.Team == "" {
		w.Team, _ = b.config.KeyTeam(w.Digest)
	}
	b.config.Withdraw(w)
	others := b.otherMembers()
	confirmations := make([]operator.Confirmation, len(others))
	var g supervisor.Group
	for i, m := range others {
		g.Go(func() { confirmations[i] = b.sendWithdrawal(ctx, m, w) })
	}
	g.Wait()
	own := operator.Confirmation{Entry: b.id, Zone: b.settings.Entry.Zone, Confirmed: true}
	return append([]operator.Confirmation{own}, confirmations...)
}

// sendWithdrawal tells another entry to refuse a withdrawn key.
func (b backend) sendWithdrawal(ctx context.Context, m peer.Member, w key.Withdrawal) operator.Confirmation {
	c := operator.Confirmation{Entry: m.Entry, Zone: m.Zone}
	if m.Entry == "" {
		c.Detail = "no entry of this zone is known here"
		return c
	}
	if err := b.config.spread.Withdraw(ctx, m, w); err != nil {
		c.Detail = "not reached; it refuses the key once it hears of it, or when its key list is no longer trusted"
		return c
	}
	c.Confirmed = true
	return c
}

// View implements operator.Backend.
func (b backend) View() config.Delta { return b.config.DeltaSince(0) }

// stateDump is the entry's state as an operator's dump shows it. It contains no keys and
// no request bodies.
type stateDump struct {
	Entry          core.EntryID     `json:"entry"`
	Zone           core.ZoneID      `json:"zone"`
	Started        time.Time        `json:"started"`
	Now            time.Time        `json:"now"`
	Stopping       bool             `json:"stopping"`
	Version        core.Version     `json:"config_version"`
	KeysFreshUntil time.Time        `json:"keys_trusted_until"`
	Requests       home.Dump        `json:"requests"`
	Shards         any              `json:"shards"`
	Allotments     any              `json:"limits"`
	Targets        any              `json:"targets"`
	Maintenance    any              `json:"maintenance"`
	Directory      []Address        `json:"directory"`
	Unrecorded     []key.Withdrawal `json:"withdrawals_unrecorded"`
}

// Dump implements operator.Backend.
func (b backend) Dump() any {
	s := stateDump{
		Entry: b.id, Zone: b.settings.Entry.Zone, Started: b.started, Now: b.now(), Stopping: b.stopping.Load(),
		Version: b.config.Version(), KeysFreshUntil: b.config.KeysFreshUntil(), Shards: b.shards.Dump(),
		Allotments: b.allotments.Dump(), Targets: b.fleet.Targets(), Maintenance: b.controller.State(),
		Unrecorded: b.config.Unrecorded(),
	}
	b.requests.WithLock(func(h *home.Home) { s.Requests = h.Dump() })
	for _, zone := range b.settings.Entry.Zones {
		s.Directory = append(s.Directory, b.directory.AddressesInZone(zone)...)
	}
	return s
}
