package operator

import (
	"context"
	"encoding/json"
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"lavenderpond/core"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// FleetStatus implements OperatorService.
func (s *Server) FleetStatus(ctx context.Context, _ *connect.Request[pb.FleetStatusRequest]) (*connect.Response[pb.FleetStatusReply], error) {
	reply := &pb.FleetStatusReply{Version: uint64(s.Backend.View().Version)}
	for _, e := range s.Backend.Fleet(ctx) {
		reply.Entries = append(reply.Entries, describeEntry(e))
	}
	return connect.NewResponse(reply), nil
}

func describeEntry(e EntryStatus) *pb.EntryStatus {
	m := &pb.EntryStatus{
		Zone: string(e.Zone), Entry: string(e.Entry), Reachable: e.Reachable, Version: uint64(e.Version),
		KeysFreshAt: toTimestamp(e.KeysFreshAt), Shards: int32(e.Shards),
	}
	for _, l := range e.Teams {
		m.Running += int32(l.Running)
		m.Queued += int32(l.Queued)
		m.Teams = append(m.Teams, &pb.TeamLoad{Team: string(l.Team), Running: int32(l.Running), Queued: int32(l.Queued)})
	}
	return m
}

// Where implements OperatorService. An entry that doesn't answer counts as unconfirmed:
// such an entry may be partitioned and still serve with an older version.
func (s *Server) Where(ctx context.Context, r *connect.Request[pb.WhereRequest]) (*connect.Response[pb.WhereReply], error) {
	reply := &pb.WhereReply{}
	for _, e := range s.Backend.Fleet(ctx) {
		c := Confirmation{Entry: e.Entry, Zone: e.Zone, Confirmed: e.Reachable && e.Version >= core.Version(r.Msg.Version)}
		switch {
		case !e.Reachable:
			c.Detail = "no answer; it may be cut off and serve on with an older version"
		case !c.Confirmed:
			c.Detail = fmt.Sprintf("has version %d", e.Version)
		}
		reply.Confirmations = append(reply.Confirmations, confirmationMessages([]Confirmation{c})...)
	}
	return connect.NewResponse(reply), nil
}

// Dump implements OperatorService.
func (s *Server) Dump(context.Context, *connect.Request[pb.DumpRequest]) (*connect.Response[pb.DumpReply], error) {
	data, err := json.Marshal(s.Backend.Dump())
	if err != nil {
		return nil, errors.Wrap(err, "encode dump")
	}
	return connect.NewResponse(&pb.DumpReply{Json: string(data)}), nil
}
