package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

// memberTable lists the entry VMs that carry orders for the owner. It has a part of
// its own: all processes write there at the same time when the system starts.
const (
	memberTable = "lavenderpond_member"
	memberPart  = "members"
)

const (
	// memberTimeout bounds one attempt to write or remove a row.
	memberTimeout = time.Second
	// memberRetryDelay is the pause after a failed attempt.
	memberRetryDelay = 300 * time.Millisecond
)

// memberRow is what an entry VM says of itself to the owner.
type memberRow struct {
	Zone string `json:"zone"`
	// Address takes orders, by net/rpc.
	Address string  `json:"address"`
	Cores   float64 `json:"cores"`
	// LinkMbps is its link in Mbit/s; 0 if that isn't known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Life tells apart the processes of one entry VM.
	Life string `json:"life"`
}

func memberKey(node string) platform.RowKey {
	return platform.RowKey{Table: memberTable, Part: memberPart, Key: node}
}

// membership keeps this process's row for as long as it carries orders.
type membership struct {
	table *platform.Table
	node  string
	row   memberRow
	log   zerolog.Logger
}

// run writes the row and removes it once ctx has ended.
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
		m.log.Debug().Err(err).Msg("member row was not written")
		supervisor.Sleep(ctx, memberRetryDelay)
	}
	return nil
}

// leave removes the row, unless another life has written it since. One that stays is
// found out by the owner, whose calls fail.
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
