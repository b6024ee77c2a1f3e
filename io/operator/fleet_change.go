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

// maxApplyAttempts bounds the attempts at a change. An attempt is repeated if another
// change took effect first, or if the table could not be reached or lost its answer.
const maxApplyAttempts = 10

// fleetChange is a change of VMs or of a zone's maintenance.
type fleetChange interface {
	// rowKey returns the key of the row that the audit record describes.
	rowKey() table.Key
	// auditInfo returns the kind and the reason for the audit record.
	auditInfo() (kind, reason string)
	// build reads the rows that the change depends on and returns its transaction.
	// The transaction has no writes if nothing is left to do.
	build(ctx context.Context, s *Server, now time.Time, m *pb.ApplyChangeRequest) (table.Transaction, error)
}

// applyFleetChange applies c at most once. Like a change of configuration, c gets a
// version, an audit record and a record of its change id, all in the transaction that
// makes the change. After a lost answer, the record of the change id shows whether the
// change took effect.
func (s *Server) applyFleetChange(ctx context.Context, m *pb.ApplyChangeRequest, c fleetChange) (*pb.ApplyChangeReply, error) {
	var lastErr error
	mayHaveApplied := false
	for range maxApplyAttempts {
		reply, err := s.tryFleetChange(ctx, m, c)
		switch {
		case err == nil:
			// After a lost answer, the record may be from an earlier attempt of this call.
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
		return nil, core.Errorf(core.CodeConflict, "other changes took effect first; repeat change %s", m.ChangeId)
	default:
		return nil, core.Errorf(core.CodePlatformDown, "this call changed nothing; repeat change %s when the table is back (%v)", m.ChangeId, lastErr)
	}
}

// tryFleetChange makes one attempt at c, or returns the result that an earlier attempt
// recorded under the same change id.
func (s *Server) tryFleetChange(ctx context.Context, m *pb.ApplyChangeRequest, c fleetChange) (*pb.ApplyChangeReply, error) {
	recordRow, err := s.Table.Read(ctx, table.ChangeKey(core.ChangeID(m.ChangeId)))
	if err != nil {
		return nil, err
	}
	if recordRow.Version != 0 && !s.noChangeRecord {
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

// repeatedReply answers a change whose id already has a record. A different change under
// that id is refused.
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

// recordChange adds to t the head row with the next version, the audit record and the
// record of the change id. It returns the new version.
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

// changeDigest returns a digest that distinguishes different changes under one change id.
// It leaves out the deadline of a drain, because an operator who repeats the command later
// gives a later deadline.
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
