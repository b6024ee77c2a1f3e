package operator

import (
	"context"
	"regexp"

	"connectrpc.com/connect"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/platform"
)

// digestPattern matches the digests of keys as entries compute them. The key itself or a
// digest in upper case would match no key. If it were accepted, the report would say "in
// force" at every entry while the leaked key keeps working.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Withdraw implements OperatorService. It informs the entries before it writes the table,
// because a table that is slow or down must not keep a leaked key working.
func (s *Server) Withdraw(ctx context.Context, r *connect.Request[pb.WithdrawRequest]) (*connect.Response[pb.WithdrawReply], error) {
	m := r.Msg
	if m.ChangeId == "" || m.Author == "" {
		return nil, core.Errorf(core.CodeMalformed, "change_id and author are both required")
	}
	if !digestPattern.MatchString(m.Digest) {
		return nil, core.Errorf(core.CodeMalformed,
			"digest: 64 lower-case hex digits are needed, as 'keys list' shows them and 'printf %%s KEY | sha256sum' prints them; nothing was withdrawn")
	}
	w := key.Withdrawal{Digest: core.KeyDigest(m.Digest), Team: s.withdrawnTeam(m), Author: m.Author, Reason: m.Reason}
	if s.withdrawTableFirst {
		if _, err := s.recordWithdrawal(ctx, w, m); err != nil {
			return nil, err
		}
	}
	reply := &pb.WithdrawReply{Confirmations: confirmationMessages(s.Backend.Withdraw(ctx, w))}
	applied, err := s.recordWithdrawal(ctx, w, m)
	reply.Version = uint64(applied.Version)
	if err != nil {
		e := toCoreError(err)
		reply.TableCode, reply.TableDetail = uint32(e.Code), e.Detail
	}
	return connect.NewResponse(reply), nil
}

// recordWithdrawal writes the withdrawal to the table.
func (s *Server) recordWithdrawal(ctx context.Context, w key.Withdrawal, m *pb.WithdrawRequest) (platform.ApplyResult, error) {
	if w.Team == "" {
		row, err := s.Table.Read(ctx, table.KeyDigestKey(w.Digest))
		if err != nil {
			return platform.ApplyResult{}, err
		}
		if w.Team = teamOfKeyRow(row); w.Team == "" {
			return platform.ApplyResult{}, core.Errorf(core.CodeNotFound, "no key with this digest is known; name its team to record the withdrawal")
		}
	}
	c := config.WithdrawKey{Author: w.Author, Team: w.Team, Digest: w.Digest, Reason: w.Reason}
	return platform.Apply(ctx, s.Table, c, core.ChangeID(m.ChangeId), s.now())
}

// withdrawnTeam returns the team of the key, from the entry's view of the configuration or
// else from the request.
func (s *Server) withdrawnTeam(m *pb.WithdrawRequest) core.TeamID {
	for _, r := range s.Backend.View().Rows {
		if r.Key != table.KeyDigestKey(core.KeyDigest(m.Digest)) {
			continue
		}
		if team := teamOfKeyRow(r); team != "" {
			return team
		}
	}
	return core.TeamID(m.Team)
}

// teamOfKeyRow returns the team of the key that r describes, or "" if there is none.
func teamOfKeyRow(r table.Row) core.TeamID {
	var k config.Key
	if err := r.Decode(&k); err != nil {
		return ""
	}
	return k.Team
}

func confirmationMessages(cs []Confirmation) []*pb.Confirmation {
	var list []*pb.Confirmation
	for _, c := range cs {
		list = append(list, &pb.Confirmation{Zone: string(c.Zone), Entry: string(c.Entry), Confirmed: c.Confirmed, Detail: c.Detail})
	}
	return list
}
