// Package caller is the interface of an entry for teams. Its server accepts requests over
// connect-go, validates them, and returns to each caller the answer to its own request.
// Its client submits requests to an entry.
package caller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lavenderpond/core"
	"lavenderpond/io/connectrpc"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/gen/lavenderpond/v1/lavenderpondv1connect"
)

// Limits on what callers send.
const (
	// maxNameBytes is the maximum length of the names of teams and queues and of ids.
	maxNameBytes = 200
	// requestOverheadBytes is the maximum size of a request without its body.
	requestOverheadBytes = 4096
	// compressMinBytes is the size from which an answer is compressed for callers that
	// accept compression. Compressing smaller answers with gzip costs a tenth of the
	// entry's processor time.
	compressMinBytes = 16 << 10
	// base64GrowthQuarters is the factor, in quarters, by which a body may grow in the JSON
	// codec, which encodes it in base64.
	base64GrowthQuarters = 6
	// overloadRetry is how long a caller should wait before it tries again while too many wait.
	overloadRetry = time.Second
)

// Backend passes a caller's call on to the home of its request id, which is the entry that
// holds the lease on the id's shard, and returns the answer.
type Backend interface {
	Submit(ctx context.Context, req core.Request, noWait bool) core.Answer
	Fetch(ctx context.Context, key core.RequestKey, digest core.KeyDigest) core.Answer
	Cancel(ctx context.Context, key core.RequestKey, digest core.KeyDigest) core.Answer
}

// Server implements CallerService over a Backend, which must be set.
type Server struct {
	Backend Backend
	// MaxBody is the maximum size of a request's body, in bytes.
	MaxBody int
	// SkewBound is the maximum difference between two clocks.
	SkewBound time.Duration
	// MaxLifetime is the maximum time from now to a request's deadline.
	MaxLifetime time.Duration
	// MaxWaiting is the maximum number of submissions that wait for their answers, each with a connection
	// of its caller; 0 means no limit. It leaves connections to quick calls and probes.
	MaxWaiting int64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	waiting atomic.Int64
}

var _ lavenderpondv1connect.CallerServiceHandler = (*Server)(nil)

// Handler returns the URL path of the service and its HTTP handler.
func (s *Server) Handler() (string, http.Handler) {
	limit := s.MaxBody*base64GrowthQuarters/4 + requestOverheadBytes
	path, h := lavenderpondv1connect.NewCallerServiceHandler(s, connectrpc.Options(),
		connect.WithReadMaxBytes(limit), connect.WithCompressMinBytes(compressMinBytes))
	return path, connectrpc.LimitBody(h, int64(limit))
}

// Submit implements CallerService.
func (s *Server) Submit(ctx context.Context, r *connect.Request[pb.SubmitRequest]) (*connect.Response[pb.Answer], error) {
	m := r.Msg
	req := toRequest(m, keyDigest(r.Header()))
	if refusal, refused := s.validate(m, req); refused {
		return toResponse(req.Key.ID, m.Attempt, core.RefusalAnswer(req.Attempt, refusal)), nil
	}
	defer s.waiting.Add(-1)
	if n := s.waiting.Add(1); s.MaxWaiting > 0 && n > s.MaxWaiting {
		refusal := core.NotRun{Code: core.CodeOverloaded, ComeBackAt: s.now().Add(overloadRetry)}
		return toResponse(req.Key.ID, m.Attempt, core.RefusalAnswer(req.Attempt, refusal)), nil
	}
	return toResponse(req.Key.ID, m.Attempt, s.Backend.Submit(ctx, req, m.NoWait)), nil
}

// Fetch implements CallerService.
func (s *Server) Fetch(ctx context.Context, r *connect.Request[pb.FetchRequest]) (*connect.Response[pb.Answer], error) {
	key := core.RequestKey{Team: core.TeamID(r.Msg.Team), ID: core.RequestID(r.Msg.Id)}
	return toResponse(key.ID, 0, s.Backend.Fetch(ctx, key, keyDigest(r.Header()))), nil
}

// Cancel implements CallerService.
func (s *Server) Cancel(ctx context.Context, r *connect.Request[pb.CancelRequest]) (*connect.Response[pb.Answer], error) {
	key := core.RequestKey{Team: core.TeamID(r.Msg.Team), ID: core.RequestID(r.Msg.Id)}
	return toResponse(key.ID, 0, s.Backend.Cancel(ctx, key, keyDigest(r.Header()))), nil
}

// validate checks the fields of a request. It returns the refusal and true if the request
// isn't valid.
func (s *Server) validate(m *pb.SubmitRequest, req core.Request) (core.NotRun, bool) {
	now := s.now()
	switch {
	case invalidName(m.Team):
		return malformed("team: 1 to %d bytes without control characters or slashes", maxNameBytes), true
	case invalidName(m.Id):
		return malformed("id: 1 to %d bytes without control characters or slashes", maxNameBytes), true
	case invalidName(m.Queue):
		return malformed("queue: 1 to %d bytes without control characters or slashes", maxNameBytes), true
	case m.Deadline == nil || m.Deadline.CheckValid() != nil:
		return malformed("deadline: a valid timestamp is required"), true
	case m.FirstSent != nil && m.FirstSent.CheckValid() != nil:
		return malformed("first_sent: not a valid timestamp"), true
	case m.BodyLength != nil && *m.BodyLength != uint64(len(m.Body)):
		return core.NotRun{Code: core.CodeTruncated,
			Detail: fmt.Sprintf("body_length is %d, the body has %d bytes", *m.BodyLength, len(m.Body))}, true
	case len(m.Body) > s.MaxBody:
		return core.NotRun{Code: core.CodeTooLarge,
			Detail: fmt.Sprintf("the body has %d bytes, at most %d are allowed", len(m.Body), s.MaxBody)}, true
	case !now.Before(req.Deadline):
		return core.NotRun{Code: core.CodeDeadlinePassed}, true
	case req.Deadline.After(now.Add(s.MaxLifetime + s.SkewBound)):
		return core.NotRun{Code: core.CodeDeadlineTooFar,
			Detail: fmt.Sprintf("the deadline may be at most %s ahead", s.MaxLifetime)}, true
	case req.FirstSent.After(now.Add(s.SkewBound)):
		return core.NotRun{Code: core.CodeClockAhead,
			Detail: fmt.Sprintf("first_sent may be at most %s ahead", s.SkewBound)}, true
	}
	return core.NotRun{}, false
}

func (s *Server) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

func malformed(format string, args ...any) core.NotRun {
	return core.NotRun{Code: core.CodeMalformed, Detail: fmt.Sprintf(format, args...)}
}

// invalidName reports whether name is empty, too long, or holds a slash or a control
// character.
func invalidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return true
	}
	return strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f || r == '/' })
}

// keyDigest returns the digest of the team key in the Authorization header, or "" if the
// header holds no bearer token.
func keyDigest(h http.Header) core.KeyDigest {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return core.Digest(key)
}

func toRequest(m *pb.SubmitRequest, digest core.KeyDigest) core.Request {
	req := core.Request{
		Key:         core.RequestKey{Team: core.TeamID(m.Team), ID: core.RequestID(m.Id)},
		KeyDigest:   digest,
		Attempt:     core.Attempt(m.Attempt),
		Queue:       core.QueueID(m.Queue),
		Idempotent:  m.Idempotent,
		Urgent:      m.Urgent,
		DeclaredRun: time.Duration(m.DeclaredRunMs) * time.Millisecond,
		Body:        m.Body,
	}
	if m.Deadline != nil {
		req.Deadline = m.Deadline.AsTime()
	}
	if m.FirstSent != nil {
		req.FirstSent = m.FirstSent.AsTime()
	}
	return req
}

// toResponse converts an answer to the message that the caller gets.
func toResponse(id core.RequestID, attempt uint32, a core.Answer) *connect.Response[pb.Answer] {
	m := &pb.Answer{Id: string(id), Attempt: attempt}
	code := core.CodeOf(a)
	m.Code, m.CodeName = uint32(code), code.String()
	switch a := a.(type) {
	case core.Done:
		m.Outcome, m.Body, m.BodyLength, m.Vm = pb.Outcome_OUTCOME_DONE, a.Body, uint64(len(a.Body)), string(a.VM)
	case core.NotRun:
		m.Outcome, m.Detail, m.ComeBackAt = pb.Outcome_OUTCOME_NOT_RUN, a.Detail, toTimestamp(a.ComeBackAt)
	case core.OutcomeUnknown:
		m.Outcome, m.Detail, m.ComeBackAt = pb.Outcome_OUTCOME_UNKNOWN, a.Detail, toTimestamp(a.ComeBackAt)
	case core.Pending:
		m.Outcome = pb.Outcome_OUTCOME_PENDING
	default:
		m.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	if m.Detail == "" && code != core.CodeDone {
		m.Detail = code.Info().Description
	}
	return connect.NewResponse(m)
}

// toTimestamp returns nil for the zero time.
func toTimestamp(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}
