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

// digestPattern is the form of every digest that an entry compares keys with. The key
// itself, or a digest in upper case, matches no key: taken, the report would say "in
// force" at every entry while the leaked key goes on working.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Withdraw implements OperatorService. The entries come before the table: a table
// that is slow or down must not keep a leaked key working.
func (s *Server) Withdraw(ctx context.Context, r *connect.Request[pb.WithdrawRequest]) (*connect.Response[pb.WithdrawReply], error) {
	m := r.Msg
	if m.ChangeId == "" || m.Author == "" {
		return nil, core.Errorf(core.CodeMalformed, "change_id and author: both are needed")
	}
	if !digestPattern.MatchString(m.Digest) {
		return nil, core.Errorf(core.CodeMalformed,
			"digest: 64 lower-case hex digits are needed, as 'keys list' shows them and 'printf %%s KEY | sha256sum' prints them; nothing was withdrawn")
	}
	w := key.Withdrawal{Digest: core.KeyDigest(m.Digest), Team: s.teamOf(m), Author: m.Author, Reason: m.Reason}
	if s.tableFirst {
		if _, err := s.recordWithdrawal(ctx, w, m); err != nil {
			return nil, err
		}
	}
	reply := &pb.WithdrawReply{Confirmations: confirmations(s.Backend.Withdraw(ctx, w))}
	applied, err := s.recordWithdrawal(ctx, w, m)
	reply.Version = uint64(applied.Version)
	if err != nil {
		e := asError(err)
		reply.TableCode, reply.TableDetail = uint32(e.Code), e.Detail
	}
	return connect.NewResponse(reply), nil
}

func (s *Server) recordWithdrawal(ctx context.Context, w key.Withdrawal, m *pb.WithdrawRequest) (platform.ApplyResult, error) {
	if w.Team == "" {
		row, err := s.Table.Read(ctx, table.KeyDigestKey(w.Digest))
		if err != nil {
			return platform.ApplyResult{}, err
		}
		if w.Team = teamIn(row); w.Team == "" {
			return platform.ApplyResult{}, core.Errorf(core.CodeNotFound, "no key with this digest is known; name its team to record the withdrawal")
		}
	}
	c := config.WithdrawKey{Author: w.Author, Team: w.Team, Digest: w.Digest, Reason: w.Reason}
	return platform.Apply(ctx, s.Table, c, core.ChangeID(m.ChangeId), s.now())
}

// teamOf returns the key's team by the entry's view, or else by the operator's word.
func (s *Server) teamOf(m *pb.WithdrawRequest) core.TeamID {
	for _, r := range s.Backend.View().Rows {
		if r.Key != table.KeyDigestKey(core.KeyDigest(m.Digest)) {
			continue
		}
		if team := teamIn(r); team != "" {
			return team
		}
	}
	return core.TeamID(m.Team)
}

func teamIn(r table.Row) core.TeamID {
	var k config.Key
	if err := r.Decode(&k); err != nil {
		return ""
	}
	return k.Team
}

func confirmations(cs []Confirmation) []*pb.Confirmation {
	var list []*pb.Confirmation
	for _, c := range cs {
		list = append(list, &pb.Confirmation{Zone: string(c.Zone), Entry: string(c.Entry), Confirmed: c.Confirmed, Detail: c.Detail})
	}
	return list
}
