package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// waveChange is a fleet change of a zone's maintenance wave. It plans the wave if plan is
// set, and otherwise starts or pauses it by calling step.
type waveChange struct {
	zone, reason, kind string
	plan               *pb.PlanMaintenance
	step               func(maintenance.WaveRow, maintenance.OperatorChange) (table.Transaction, error)
}

func (a waveChange) rowKey() table.Key { return maintenance.WaveKey(core.ZoneID(a.zone)) }

func (a waveChange) auditInfo() (kind, reason string) { return a.kind, a.reason }

func (a waveChange) build(ctx context.Context, s *Server, now time.Time, m *pb.ApplyChangeRequest) (table.Transaction, error) {
	if a.zone == "" {
		return table.Transaction{}, core.Errorf(core.CodeInvalidSetting, "zone is required")
	}
	row, err := s.Table.Read(ctx, a.rowKey())
	if err != nil {
		return table.Transaction{}, err
	}
	w, err := maintenance.DecodeWave(core.ZoneID(a.zone), row)
	if err != nil {
		return table.Transaction{}, err
	}
	o := maintenance.OperatorChange{Author: m.Author, Reason: a.reason, Change: core.ChangeID(m.ChangeId)}
	if a.plan != nil {
		return maintenance.Plan(now, w, o, toTime(a.plan.Deadline), int(a.plan.MaxNotBack))
	}
	return a.step(w, o)
}

// wavePrefix is the key prefix of the rows of maintenance waves, one for each zone.
var wavePrefix = string(maintenance.WaveKey(""))

// MaintenanceStatus implements OperatorService.
func (s *Server) MaintenanceStatus(ctx context.Context, _ *connect.Request[pb.MaintenanceStatusRequest]) (*connect.Response[pb.MaintenanceStatusReply], error) {
	rows, _, err := s.Table.Scan(ctx, wavePrefix)
	if err != nil {
		return nil, err
	}
	reply := &pb.MaintenanceStatusReply{}
	for _, r := range rows {
		zone := core.ZoneID(rowName(r, wavePrefix))
		w, err := maintenance.DecodeWave(zone, r)
		if err != nil {
			return nil, err
		}
		vms, err := s.scanVMs(ctx, table.PrefixVM+string(zone)+"/")
		if err != nil {
			return nil, err
		}
		reply.Waves = append(reply.Waves, describeWave(s.now(), w, vms))
	}
	return connect.NewResponse(reply), nil
}

func describeWave(now time.Time, w maintenance.WaveRow, vms []fleet.VMRow) *pb.Wave {
	p := maintenance.ProgressOf(now, w.Zone, w.Wave, vms)
	return &pb.Wave{
		Zone: string(w.Zone), Status: w.Wave.Status.String(), Number: int32(w.Wave.Number), Deadline: toTimestamp(w.Wave.Deadline),
		Total: int32(p.Total), Maintained: int32(p.Maintained), Out: int32(p.Out), Failed: int32(p.Failed),
		NotBack: int32(p.NotBack), MaxNotBack: int32(w.Wave.MaxNotBack), Late: int32(p.Late),
		Author: w.Wave.Author, Reason: w.Wave.Reason,
	}
}

func (s *Server) scanVMs(ctx context.Context, prefix string) ([]fleet.VMRow, error) {
	rows, _, err := s.Table.Scan(ctx, prefix)
	if err != nil {
		return nil, err
	}
	vms := make([]fleet.VMRow, 0, len(rows))
	for _, r := range rows {
		vm, err := fleet.DecodeVM(r)
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	return vms, nil
}
