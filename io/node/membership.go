package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

// memberTable lists the entry VMs that can relay orders for the owner. The table has its
// own partition because all processes write to it at the same time when the system starts.
const (
	memberTable     = "lavenderpond_member"
	memberPartition = "members"
)

const (
	// memberTimeout bounds one attempt to write or remove a row.
	memberTimeout = time.Second
	// memberRetryDelay is the pause after a failed attempt.
	memberRetryDelay = 300 * time.Millisecond
)

// memberRow describes an entry VM to the owner.
type memberRow struct {
	Zone string `json:"zone"`
	// Address is the net/rpc address that accepts orders.
	Address string  `json:"address"`
	Cores   float64 `json:"cores"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; 0 if it isn't known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// RunID identifies one run of the entry VM's process.
	RunID string `json:"life"`
	// Refusals is set if the entry VM tells refusals from cancellations. Older releases don't:
	// they answer that a refused job that is submitted again is stored.
	Refusals bool `json:"refusals,omitempty"`
}

// newMemberRow returns the row of this process.
func newMemberRow(s *platform.Settings, runID string) memberRow {
	return memberRow{Zone: s.Zone, Address: s.PeerAddress, Cores: s.Cores, LinkMbps: s.LinkMbps, RunID: runID, Refusals: true}
}

func memberKey(node string) platform.RowKey {
	return platform.RowKey{Table: memberTable, Partition: memberPartition, Key: node}
}

// membership keeps this process's member row in the table while it can relay orders.
type membership struct {
	table *platform.Table
	node  string
	row   memberRow
	log   zerolog.Logger
}

// run writes the row and removes it once ctx ends.
func (m *membership) run(ctx context.Context) error {
	value, err := encodeRow(m.row)
	if err != nil {
		return err
	}
	join := platform.Transaction{Writes: []platform.Write{{RowKey: memberKey(m.node), Value: value}}}
	for ctx.Err() == nil {
		version, err := m.apply(ctx, join)
		if err == nil {
			m.log.Info().Str("event", "member_joined").Str("address", m.row.Address).Send()
			<-ctx.Done()
			m.leave(version)
			return nil
		}
		if platform.RefusedForGood(err) {
			m.log.Error().Err(err).Str("event", "member_refused").Send()
			return nil
		}
		m.log.Debug().Err(err).Msg("member row could not be written")
		supervisor.Sleep(ctx, memberRetryDelay)
	}
	return nil
}

// leave removes the row unless another run of the process has overwritten it. If the row
// remains, the owner notices because its calls fail.
func (m *membership) leave(version platform.Version) {
	tx := platform.Transaction{
		Conditions: []platform.Condition{{RowKey: memberKey(m.node), Version: version}},
		Removals:   []platform.RowKey{memberKey(m.node)},
	}
	_, err := m.apply(context.Background(), tx)
	var conflict *platform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		m.log.Info().Err(err).Str("event", "member_row_left").Send()
	}
}

func (m *membership) apply(ctx context.Context, tx platform.Transaction) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	return m.table.Apply(ctx, tx)
}
