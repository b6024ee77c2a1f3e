package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// maxApplyAttempts bounds how often a change is planned again after others came first,
// or sent again after a lost answer.
const maxApplyAttempts = 10

// fleetChange builds the transaction of a change of VMs or maintenance, on rows that it
// reads. An empty transaction says that nothing is left to do.
type fleetChange interface {
	// rowKey is the row that the change is about.
	rowKey() table.Key
	// auditInfo returns the kind of change and the reason for its audit record.
	auditInfo() (kind, reason string)
	build(ctx context.Context, s *Server, now time.Time, m *pb.ApplyChangeRequest) (table.Transaction, error)
}

// applyFleetChange carries out a once. Such a change gets a version, an audit record and
// the record of its change id like any change of configuration, in the same
// transaction: a lost answer is settled by reading that record.
func (s *Server) applyFleetChange(ctx context.Context, m *pb.ApplyChangeRequest, c fleetChange) (*pb.ApplyChangeReply, error) {
	var lastErr error
	mayHaveApplied := false
	for range maxApplyAttempts {
		reply, err := s.tryFleetChange(ctx, m, c)
		switch {
		case err == nil:
			// After a lost answer the record is this call's own work.
			reply.Repeated = reply.Repeated && !mayHaveApplied
			return reply, nil
		case errors.Is(err, table.ErrConflict), errors.Is(err, table.ErrUnreachable):
		case errors.Is(err, table.ErrOutcomeUnknown):
			mayHaveApplied = true
		default:
			return nil, err
		}
		lastErr = err
	}
	switch {
	case mayHaveApplied:
		return nil, core.Errorf(core.CodeChangeUnknown, "change %s may have taken effect: repeat it under the same change id (%v)", m.ChangeId, lastErr)
	case errors.Is(lastErr, table.ErrConflict):
		return nil, core.Errorf(core.CodeConflict, "other changes kept coming first; repeat change %s", m.ChangeId)
	default:
		return nil, core.Errorf(core.CodePlatformDown, "this call changed nothing; repeat change %s when the table is back (%v)", m.ChangeId, lastErr)
	}
}

func (s *Server) tryFleetChange(ctx context.Context, m *pb.ApplyChangeRequest, c fleetChange) (*pb.ApplyChangeReply, error) {
	recordRow, err := s.Table.Read(ctx, table.ChangeKey(core.ChangeID(m.ChangeId)))
	if err != nil {
		return nil, err
	}
	if recordRow.Version != 0 && !s.noRecord {
		return repeatedReply(m, recordRow)
	}
	head, err := s.Table.Read(ctx, table.ConfigHead)
	if err != nil {
		return nil, err
	}
	before, err := s.Table.Read(ctx, c.rowKey())
	if err != nil {
		return nil, err
	}
	now := s.now()
	t, err := c.build(ctx, s, now, m)
	if err != nil {
		return nil, err
	}
	if len(t.Writes) == 0 {
		return &pb.ApplyChangeReply{Repeated: true, Note: "nothing was left to change"}, nil
	}
	version, err := recordChange(&t, m, c, now, head, before, recordRow)
	if err != nil {
		return nil, err
	}
	return &pb.ApplyChangeReply{Version: uint64(version)}, s.Table.Transact(ctx, t)
}

func repeatedReply(m *pb.ApplyChangeRequest, row table.Row) (*pb.ApplyChangeReply, error) {
	var record config.ChangeRecord
	if err := row.Decode(&record); err != nil {
		return nil, err
	}
	if record.Digest != changeDigest(m) {
		return nil, core.Errorf(core.CodeConflict, "change id %q was used by %s for %s in version %d; choose a new change id",
			m.ChangeId, record.Author, record.Key, record.Version)
	}
	return &pb.ApplyChangeReply{Version: uint64(record.Version), Repeated: true}, nil
}

// recordChange adds the head's next version, the audit record and the change's record.
func recordChange(t *table.Transaction, m *pb.ApplyChangeRequest, c fleetChange, now time.Time, headRow, before, recordRow table.Row) (core.Version, error) {
	var head config.Head
	if err := headRow.Decode(&head); err != nil {
		return 0, err
	}
	head = config.Head{Version: head.Version + 1, Change: core.ChangeID(m.ChangeId)}
	kind, reason := c.auditInfo()
	audit := config.AuditRecord{
		Version: head.Version, Change: head.Change, Kind: kind, Key: c.rowKey(), Author: m.Author, At: now, Reason: reason,
		Before: before.Value,
	}
	for _, w := range t.Writes {
		if w.Key == c.rowKey() {
			audit.After = w.Value
		}
	}
	if audit.After == nil {
		audit.After = []byte("null")
	}
	t.Check(recordRow)
	t.Check(headRow)
	return head.Version, firstError(
		t.Set(table.ConfigHead, head),
		t.Set(recordRow.Key, audit.ChangeRecord(changeDigest(m))),
		t.Set(table.AuditKey(head.Version), audit))
}

// changeDigest tells two changes under one id apart. A drain's deadline is left out: an
// operator who repeats the command later gives a later one.
func changeDigest(m *pb.ApplyChangeRequest) string {
	m = proto.CloneOf(m)
	switch c := m.Change.(type) {
	case *pb.ApplyChangeRequest_MoveVm:
		c.MoveVm.DrainBy = nil
	case *pb.ApplyChangeRequest_CordonVm:
		c.CordonVm.DrainBy = nil
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
