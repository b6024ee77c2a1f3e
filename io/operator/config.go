package operator

import (
	"context"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/platform"
)

// applyConfig applies a change of configuration. Fields that the operator left out keep
// the values that the row has.
func (s *Server) applyConfig(ctx context.Context, m *pb.ApplyChangeRequest) (*pb.ApplyChangeReply, error) {
	c, err := configChangeOf(m)
	if err != nil {
		return nil, err
	}
	p := &pinnedTable{Table: s.Table, addWrites: s.addPoolState}
	row, err := p.pin(ctx, c.Key())
	if err != nil {
		return nil, err
	}
	if s.noPinnedRows {
		p.pinned = nil
	}
	base, repeated, err := s.mergeBase(ctx, p, m, row)
	if err != nil {
		return nil, err
	}
	if !repeated && m.IfVersion != 0 && core.Version(m.IfVersion) != row.Version {
		return nil, core.Errorf(core.CodeConflict, "%s has version %d, not %d; read it again and repeat under a new change id",
			c.Key(), row.Version, m.IfVersion)
	}
	if c, err = merge(c, m, base); err != nil {
		return nil, err
	}
	applied, err := platform.Apply(ctx, p, c, core.ChangeID(m.ChangeId), s.now())
	if err != nil {
		return nil, err
	}
	return &pb.ApplyChangeReply{Version: uint64(applied.Version), Repeated: applied.Repeated, Note: s.changeNote(ctx, c, m)}, nil
}

// mergeBase returns the row that supplies the fields that m leaves out, and whether the
// change id has a record already. If it has one, the base is the row as it was before
// that change. If the base were the current row, a repeated command would look like a
// different change under the same id.
//
// The record of the change id is pinned. It may be deleted at any moment once its
// retention is over, and a change that was merged with the old row would then be applied
// a second time, over what others have changed since.
func (s *Server) mergeBase(ctx context.Context, p *pinnedTable, m *pb.ApplyChangeRequest, row table.Row) (table.Row, bool, error) {
	recordRow, err := s.Table.Read(ctx, table.ChangeKey(core.ChangeID(m.ChangeId)))
	if err != nil || recordRow.Version == 0 {
		return row, false, err
	}
	var record config.ChangeRecord
	if err := recordRow.Decode(&record); err != nil {
		return row, false, err
	}
	p.pinRow(recordRow)
	audit, err := s.findAuditRecord(ctx, record.Version)
	base := table.Row{Key: row.Key, Value: audit.Before}
	if audit.Before != nil {
		base.Version = 1
	}
	return base, true, err
}

// merge fills in the settings of c: the fields that m sets, and for the others the values
// of row.
func merge(c config.Change, m *pb.ApplyChangeRequest, row table.Row) (config.Change, error) {
	var err error
	switch c := c.(type) {
	case config.SetTeam:
		err = row.Decode(&c.Value)
		setInt(&c.Value.Share, m.GetSetTeam().Share)
		setInt(&c.Value.Limit, m.GetSetTeam().Limit)
		return c, err
	case config.SetPool:
		err = row.Decode(&c.Value)
		setInt(&c.Value.MaxUnavailable, m.GetSetPool().MaxUnavailable)
		setBool(&c.Value.Spare, m.GetSetPool().Spare)
		setBool(&c.Value.LendsIdle, m.GetSetPool().LendsIdle)
		return c, err
	case config.SetQueue:
		err = row.Decode(&c.Value)
		if m.GetSetQueue().Pool != nil {
			c.Value.Pool = core.PoolID(m.GetSetQueue().GetPool())
		}
		setBool(&c.Value.Overflow, m.GetSetQueue().Overflow)
		setInt(&c.Value.MaxQueued, m.GetSetQueue().MaxQueued)
		return c, err
	case config.SetDefaults:
		err = row.Decode(&c.Value)
		d := m.GetSetDefaults()
		setInt(&c.Value.Share, d.Share)
		setInt(&c.Value.Limit, d.Limit)
		setInt(&c.Value.MaxUnavailable, d.MaxUnavailable)
		setInt(&c.Value.MaxQueued, d.MaxQueued)
		setInt(&c.Value.MaxBody, d.MaxBody)
		return c, err
	default:
		return c, nil
	}
}

func setInt[T ~int](field *T, value *int32) {
	if value != nil {
		*field = T(*value)
	}
}

func setBool(field *bool, value *bool) {
	if value != nil {
		*field = *value
	}
}

// addPoolState extends a transaction that changes a pool's settings: it also writes the
// budget into the pool's state row. Drain permits then always count against the accepted
// budget.
func (s *Server) addPoolState(ctx context.Context, t *table.Transaction) error {
	for _, w := range t.Writes {
		id, ok := poolOfConfigKey(w.Key)
		if !ok {
			continue
		}
		var value config.Pool
		if err := (table.Row{Key: w.Key, Version: 1, Value: w.Value}).Decode(&value); err != nil {
			return err
		}
		defaults, err := s.Table.Read(ctx, table.ConfigDefaults)
		if err != nil {
			return err
		}
		row, err := s.readPool(ctx, id)
		if err != nil {
			return err
		}
		stateWrites, err := fleet.SetPool(row, maxUnavailable(value, defaults), value.Spare)
		if err != nil {
			return err
		}
		t.Checks = append(t.Checks, stateWrites.Checks...)
		t.Writes = append(t.Writes, stateWrites.Writes...)
		return nil
	}
	return nil
}

// maxUnavailable returns the disruption budget of p, or the default one if p has none.
func maxUnavailable(p config.Pool, defaults table.Row) int {
	var d config.Defaults
	if p.MaxUnavailable == 0 && defaults.Decode(&d) == nil {
		return d.MaxUnavailable
	}
	return p.MaxUnavailable
}

// pinnedTable is a table in which some rows are pinned: the next read of a pinned row
// returns it as it was read before. It makes platform.Apply check the very rows that a
// change was merged with. A change by another operator in between is then a conflict and
// isn't silently undone.
type pinnedTable struct {
	platform.Table
	pinned map[table.Key]table.Row
	// addWrites extends each transaction before it is sent. It reads the rows that it
	// needs.
	addWrites func(ctx context.Context, t *table.Transaction) error
}

// pin reads and pins the head row and the row of key. It reads the head row first, so
// that any later change of the other row has a version above that of the head.
func (p *pinnedTable) pin(ctx context.Context, key table.Key) (table.Row, error) {
	p.pinned = map[table.Key]table.Row{}
	for _, k := range []table.Key{table.ConfigHead, key} {
		row, err := p.Table.Read(ctx, k)
		if err != nil {
			return row, err
		}
		p.pinned[k] = row
	}
	return p.pinned[key], nil
}

// pinRow makes the next read of row's key return row. It does nothing if pinning is off,
// as in a test.
func (p *pinnedTable) pinRow(row table.Row) {
	if p.pinned != nil {
		p.pinned[row.Key] = row
	}
}

// Read implements platform.Table.
func (p *pinnedTable) Read(ctx context.Context, key table.Key) (table.Row, error) {
	if row, ok := p.pinned[key]; ok {
		delete(p.pinned, key)
		return row, nil
	}
	return p.Table.Read(ctx, key)
}

// Transact implements platform.Table.
func (p *pinnedTable) Transact(ctx context.Context, t table.Transaction) error {
	if err := p.addWrites(ctx, &t); err != nil {
		// Nothing was sent. platform.Apply would take any other error for a lost answer.
		return errors.Wrap(table.ErrUnreachable, err.Error())
	}
	return p.Table.Transact(ctx, t)
}
