package operator

import (
	"context"

	"connectrpc.com/connect"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/maintenance"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// ApplyChange implements OperatorService.
func (s *Server) ApplyChange(ctx context.Context, r *connect.Request[pb.ApplyChangeRequest]) (*connect.Response[pb.ApplyChangeReply], error) {
	m := r.Msg
	if m.ChangeId == "" || m.Author == "" {
		return nil, core.Errorf(core.CodeMalformed, "change_id and author are both required")
	}
	var reply *pb.ApplyChangeReply
	var err error
	if c := s.fleetChangeOf(m); c != nil {
		reply, err = s.applyFleetChange(ctx, m, c)
		if err == nil && reply.Note == "" {
			reply.Note = s.unknownZoneNote(ctx, c)
		}
	} else {
		reply, err = s.applyConfig(ctx, m)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(reply), nil
}

// configChangeOf returns the change of configuration that m asks for. The settings of
// teams, pools, queues and defaults are still empty: merge fills them in once the row of
// the change's key has been read.
func configChangeOf(m *pb.ApplyChangeRequest) (config.Change, error) {
	switch c := m.Change.(type) {
	case *pb.ApplyChangeRequest_SetTeam:
		return config.SetTeam{Author: m.Author, Team: core.TeamID(c.SetTeam.Team)}, nil
	case *pb.ApplyChangeRequest_SetPool:
		return config.SetPool{Author: m.Author, Pool: core.PoolID(c.SetPool.Pool)}, nil
	case *pb.ApplyChangeRequest_SetQueue:
		return config.SetQueue{Author: m.Author, Queue: core.QueueID(c.SetQueue.Queue)}, nil
	case *pb.ApplyChangeRequest_SetDefaults:
		return config.SetDefaults{Author: m.Author}, nil
	case *pb.ApplyChangeRequest_AddException:
		return exceptionOf(m, c.AddException), nil
	case *pb.ApplyChangeRequest_RetireException:
		return config.RetireException{Author: m.Author, ID: c.RetireException.Id, Reason: c.RetireException.Reason}, nil
	case *pb.ApplyChangeRequest_GrantKey:
		return config.GrantKey{Author: m.Author, Team: core.TeamID(c.GrantKey.Team), Digest: core.KeyDigest(c.GrantKey.Digest)}, nil
	case *pb.ApplyChangeRequest_AttestZone:
		a := c.AttestZone
		return config.AttestZone{Author: m.Author, Zone: core.ZoneID(a.Zone), Down: a.Down, Reason: a.Reason}, nil
	default:
		return nil, core.Errorf(core.CodeMalformed, "change: no known kind of change is set")
	}
}

// fleetChangeOf returns the change of VMs or maintenance that m asks for, or nil if m asks
// for a change of configuration.
func (s *Server) fleetChangeOf(m *pb.ApplyChangeRequest) fleetChange {
	switch c := m.Change.(type) {
	case *pb.ApplyChangeRequest_AddVm:
		return addVM{c.AddVm}
	case *pb.ApplyChangeRequest_RemoveVm:
		return removeVM{c.RemoveVm}
	case *pb.ApplyChangeRequest_MoveVm:
		return moveVM{c.MoveVm}
	case *pb.ApplyChangeRequest_CordonVm:
		return cordonVM{c.CordonVm}
	case *pb.ApplyChangeRequest_ReturnVm:
		return returnVM{c.ReturnVm}
	case *pb.ApplyChangeRequest_PlanMaintenance:
		p := c.PlanMaintenance
		return waveChange{zone: p.Zone, reason: p.Reason, kind: "plan_maintenance", plan: p}
	case *pb.ApplyChangeRequest_StartMaintenance:
		return waveChange{zone: c.StartMaintenance.Zone, reason: c.StartMaintenance.Reason, kind: "start_maintenance", step: maintenance.Start}
	case *pb.ApplyChangeRequest_PauseMaintenance:
		return waveChange{zone: c.PauseMaintenance.Zone, reason: c.PauseMaintenance.Reason, kind: "pause_maintenance", step: maintenance.Pause}
	default:
		return nil
	}
}

func exceptionOf(m *pb.ApplyChangeRequest, e *pb.AddException) config.AddException {
	values := map[string]int{}
	for name, n := range e.Value {
		values[name] = int(n)
	}
	return config.AddException{
		Author: m.Author, ID: e.Id, Scope: tableKey(e.Scope), Reason: e.Reason, End: toTime(e.End), Value: values,
	}
}
