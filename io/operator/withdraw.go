package operator

import (
	"context"

	"connectrpc.com/connect"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/platform"
)

// digestLength is the length of a key's digest, in hex digits.
const digestLength = 64

// Withdraw implements OperatorService. The entries come before the table: a table
// that is slow or down must not keep a leaked key working.
func (s *Server) Withdraw(ctx context.Context, r *connect.Request[pb.WithdrawRequest]) (*connect.Response[pb.WithdrawReply], error) {
	m := r.Msg
	if m.ChangeId == "" || m.Author == "" || len(m.Digest) != digestLength {
		return nil, core.Errorf(core.CodeMalformed, "change_id, author and the key's digest of %d hex digits are needed", digestLength)
	}
	if s.tableFirst {
		if _, err := s.recordWithdrawal(ctx, m); err != nil {
			return nil, err
		}
	}
	reply := &pb.WithdrawReply{Confirmations: confirmations(s.Backend.Withdraw(ctx, core.KeyDigest(m.Digest)))}
	applied, err := s.recordWithdrawal(ctx, m)
	reply.Version = uint64(applied.Version)
	if err != nil {
		e := asError(err)
		reply.TableCode, reply.TableDetail = uint32(e.Code), e.Detail
	}
	return connect.NewResponse(reply), nil
}

func (s *Server) recordWithdrawal(ctx context.Context, m *pb.WithdrawRequest) (platform.Applied, error) {
	team, err := s.teamOf(ctx, m)
	if err != nil {
		return platform.Applied{}, err
	}
	c := config.WithdrawKey{Author: m.Author, Team: team, Digest: core.KeyDigest(m.Digest), Reason: m.Reason}
	return platform.Apply(ctx, s.Table, c, core.ChangeID(m.ChangeId), s.now())
}

// teamOf returns the key's team by its row, or else by the operator's word.
func (s *Server) teamOf(ctx context.Context, m *pb.WithdrawRequest) (core.TeamID, error) {
	rows, _, err := s.scanConfig(ctx, string(table.KeyKey(core.KeyDigest(m.Digest))))
	if err != nil {
		return "", err
	}
	k := config.Key{Team: core.TeamID(m.Team)}
	for _, r := range rows {
		if err := r.Decode(&k); err != nil {
			return "", err
		}
	}
	if k.Team == "" {
		return "", core.Errorf(core.CodeNotFound, "no key with this digest is known; name its team to record the withdrawal")
	}
	return k.Team, nil
}

func confirmations(cs []Confirmation) []*pb.Confirmation {
	var list []*pb.Confirmation
	for _, c := range cs {
		list = append(list, &pb.Confirmation{Zone: string(c.Zone), Entry: string(c.Entry), Confirmed: c.Confirmed, Detail: c.Detail})
	}
	return list
}
