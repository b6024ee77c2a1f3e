package operator

import (
	"context"
	"encoding/json"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/platform"
)

// Key prefixes of the rows of each list.
var (
	teamPrefix      = string(table.TeamKey(""))
	poolPrefix      = string(table.PoolConfigKey(""))
	queuePrefix     = string(table.QueueKey(""))
	exceptionPrefix = string(table.ExceptionKey(""))
)

// ListTeams implements OperatorService.
func (s *Server) ListTeams(ctx context.Context, _ *connect.Request[pb.ListTeamsRequest]) (*connect.Response[pb.ListTeamsReply], error) {
	rows, view, err := s.scanConfig(ctx, teamPrefix)
	if err != nil {
		return nil, err
	}
	reply := &pb.ListTeamsReply{View: view}
	byName := map[string]*pb.Team{}
	for _, r := range rows {
		var t config.Team
		if err := r.Decode(&t); err != nil {
			return nil, err
		}
		m := &pb.Team{Team: rowName(r, teamPrefix), Share: int32(t.Share), Limit: int32(t.Limit), RowVersion: uint64(r.Version)}
		byName[m.Team] = m
		reply.Teams = append(reply.Teams, m)
	}
	for _, e := range s.Backend.Fleet(ctx) {
		if !e.Reachable {
			reply.Unreachable = append(reply.Unreachable, string(e.Entry))
		}
		for _, l := range e.Teams {
			if m := byName[string(l.Team)]; m != nil {
				m.Running += int32(l.Running)
				m.Queued += int32(l.Queued)
			}
		}
	}
	return connect.NewResponse(reply), nil
}

// ListPools implements OperatorService.
func (s *Server) ListPools(ctx context.Context, _ *connect.Request[pb.ListPoolsRequest]) (*connect.Response[pb.ListPoolsReply], error) {
	rows, _, err := s.Table.Scan(ctx, poolPrefix)
	if err != nil {
		return nil, err
	}
	states, err := s.poolStates(ctx)
	if err != nil {
		return nil, err
	}
	reply := &pb.ListPoolsReply{}
	for _, r := range rows {
		var p config.Pool
		if err := r.Decode(&p); err != nil {
			return nil, err
		}
		name := rowName(r, poolPrefix)
		state := states[core.PoolID(name)]
		failed := state.Failed()
		reply.Pools = append(reply.Pools, &pb.Pool{
			Pool: name, MaxUnavailable: int32(state.MaxUnavailable), Size: int32(state.Size), Members: int32(state.Members),
			OutPlanned: int32(len(state.Out) - failed), OutFailed: int32(failed), Spare: p.Spare, LendsIdle: p.LendsIdle,
			RowVersion: uint64(r.Version),
		})
	}
	return connect.NewResponse(reply), nil
}

// poolStates reads the state rows of all pools.
func (s *Server) poolStates(ctx context.Context) (map[core.PoolID]fleet.Pool, error) {
	rows, _, err := s.Table.Scan(ctx, table.PrefixPool)
	if err != nil {
		return nil, err
	}
	states := make(map[core.PoolID]fleet.Pool)
	for _, r := range rows {
		p, err := fleet.DecodePool(r)
		if err != nil {
			return nil, err
		}
		states[p.ID] = p.Pool
	}
	return states, nil
}

// ListVMs implements OperatorService.
func (s *Server) ListVMs(ctx context.Context, r *connect.Request[pb.ListVMsRequest]) (*connect.Response[pb.ListVMsReply], error) {
	vms, err := s.scanVMs(ctx, table.PrefixVM)
	if err != nil {
		return nil, err
	}
	reply := &pb.ListVMsReply{}
	for _, v := range vms {
		if r.Msg.Pool != "" && r.Msg.Pool != string(v.VM.Pool) {
			continue
		}
		reply.Vms = append(reply.Vms, &pb.VM{
			Zone: string(v.Zone), Vm: string(v.Ref.VM), Pool: string(v.VM.Pool), State: v.VM.State.String(), Rack: string(v.VM.Rack),
			Address: v.VM.Address, Slots: int32(v.VM.Slots), Connections: int32(v.VM.Connections), Since: toTimestamp(v.VM.Since),
			MoveTo: string(v.VM.MoveTo), Wave: v.VM.Wave,
		})
	}
	return connect.NewResponse(reply), nil
}

// ListQueues implements OperatorService.
func (s *Server) ListQueues(ctx context.Context, _ *connect.Request[pb.ListQueuesRequest]) (*connect.Response[pb.ListQueuesReply], error) {
	rows, view, err := s.scanConfig(ctx, queuePrefix)
	if err != nil {
		return nil, err
	}
	reply := &pb.ListQueuesReply{View: view}
	for _, r := range rows {
		var q config.Queue
		if err := r.Decode(&q); err != nil {
			return nil, err
		}
		reply.Queues = append(reply.Queues, &pb.Queue{
			Queue: rowName(r, queuePrefix), Pool: string(q.Pool), Overflow: q.Overflow, MaxQueued: int32(q.MaxQueued), RowVersion: uint64(r.Version),
		})
	}
	return connect.NewResponse(reply), nil
}

// GetDefaults implements OperatorService.
func (s *Server) GetDefaults(ctx context.Context, _ *connect.Request[pb.GetDefaultsRequest]) (*connect.Response[pb.GetDefaultsReply], error) {
	rows, view, err := s.scanConfig(ctx, string(table.ConfigDefaults))
	if err != nil {
		return nil, err
	}
	reply := &pb.GetDefaultsReply{View: view}
	for _, r := range rows {
		var d config.Defaults
		if err := r.Decode(&d); err != nil {
			return nil, err
		}
		reply.Share, reply.Limit, reply.MaxUnavailable = int32(d.Share), int32(d.Limit), int32(d.MaxUnavailable)
		reply.MaxQueued, reply.MaxBody, reply.RowVersion = int32(d.MaxQueued), int32(d.MaxBody), uint64(r.Version)
	}
	return connect.NewResponse(reply), nil
}

// ListKeys implements OperatorService.
func (s *Server) ListKeys(ctx context.Context, r *connect.Request[pb.ListKeysRequest]) (*connect.Response[pb.ListKeysReply], error) {
	rows, view, err := s.scanConfig(ctx, table.PrefixKey)
	if err != nil {
		return nil, err
	}
	reply := &pb.ListKeysReply{View: view}
	for _, row := range rows {
		var k config.Key
		if err := row.Decode(&k); err != nil {
			return nil, err
		}
		if r.Msg.Team == "" || r.Msg.Team == string(k.Team) {
			reply.Keys = append(reply.Keys, &pb.TeamKey{Digest: rowName(row, table.PrefixKey), Team: string(k.Team), Withdrawn: k.Withdrawn})
		}
	}
	return connect.NewResponse(reply), nil
}

// ListExceptions implements OperatorService.
func (s *Server) ListExceptions(ctx context.Context, _ *connect.Request[pb.ListExceptionsRequest]) (*connect.Response[pb.ListExceptionsReply], error) {
	rows, view, err := s.scanConfig(ctx, exceptionPrefix)
	if err != nil {
		return nil, err
	}
	reply := &pb.ListExceptionsReply{View: view}
	for _, r := range rows {
		var e config.Exception
		if err := r.Decode(&e); err != nil {
			return nil, err
		}
		m := &pb.Exception{
			Id: rowName(r, exceptionPrefix), Scope: e.Scope, Reason: e.Reason, Author: e.Author, End: toTimestamp(e.End),
			Ended: !e.End.After(s.now()), Value: map[string]int32{},
		}
		for name, n := range e.Value {
			m.Value[name] = int32(n)
		}
		reply.Exceptions = append(reply.Exceptions, m)
	}
	return connect.NewResponse(reply), nil
}

// Number of records that ListAudit returns by default and at most. The
// total number of records grows without bound.
const (
	defaultAuditCount = 50
	maxAuditCount     = 1000
)

// KindRecordMissing is the kind that an audit list shows for a change whose record is
// neither in the table nor in the object store. Without it, one lost record would make
// the whole list fail, and an operator would wait for a platform that is up.
const KindRecordMissing = "record_missing"

// ListAudit implements OperatorService.
func (s *Server) ListAudit(ctx context.Context, r *connect.Request[pb.ListAuditRequest]) (*connect.Response[pb.ListAuditReply], error) {
	var head config.Head
	row, err := s.Table.Read(ctx, table.ConfigHead)
	if err == nil {
		err = row.Decode(&head)
	}
	if err != nil {
		return nil, err
	}
	last := core.Version(r.Msg.Last)
	if last == 0 {
		last = defaultAuditCount
	}
	last = min(last, maxAuditCount, head.Version)
	reply := &pb.ListAuditReply{}
	for v := head.Version - last + 1; v <= head.Version; v++ {
		record, err := s.auditMessage(ctx, v)
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, record)
	}
	return connect.NewResponse(reply), nil
}

// auditMessage returns the record of version v as ListAudit sends it.
func (s *Server) auditMessage(ctx context.Context, v core.Version) (*pb.AuditRecord, error) {
	a, err := s.findAuditRecord(ctx, v)
	if errors.Is(err, platform.ErrObjectNotFound) {
		return &pb.AuditRecord{Version: uint64(v), Kind: KindRecordMissing}, nil
	}
	return &pb.AuditRecord{
		Version: uint64(v), ChangeId: string(a.Change), Author: a.Author, At: toTimestamp(a.At), Kind: a.Kind, Reason: a.Reason,
		Row: strings.TrimSpace(string(a.Key)), Before: string(a.Before), After: string(a.After),
	}, err
}

// findAuditRecord reads the record of version v from the table, or from the object store
// if it was deleted from the table.
func (s *Server) findAuditRecord(ctx context.Context, v core.Version) (config.AuditRecord, error) {
	var a config.AuditRecord
	row, err := s.Table.Read(ctx, table.AuditKey(v))
	if err != nil || row.Version > 0 {
		return a, firstError(err, row.Decode(&a))
	}
	// platform.Client implements both platform.Table and platform.Objects.
	objects, ok := s.Table.(platform.Objects)
	if !ok {
		return a, nil
	}
	data, err := objects.Get(ctx, AuditObject(v))
	if err != nil {
		return a, errors.Wrapf(err, "read audit record %d from the object store", v)
	}
	return a, errors.Wrapf(json.Unmarshal(data, &a), "decode audit record %d", v)
}
