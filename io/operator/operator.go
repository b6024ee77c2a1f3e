// Package operator serves the operators' commands on an entry: changes to the
// platform's table, lists, and what is in force where.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"path"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
	"lavenderpond/io/connectrpc"
	"lavenderpond/io/gen/lavenderpond/v1/lavenderpondv1connect"
	"lavenderpond/io/platform"
)

// maxRequestBytes bounds an operator's request, in bytes.
const maxRequestBytes = 1 << 20

// defaultTimeout bounds a request whose caller names no timeout.
const defaultTimeout = 10 * time.Second

// Backend is what the service asks of the daemon that it runs in.
type Backend interface {
	// Fleet returns the status of this entry, first, and of every other entry that
	// it knows. It returns within ctx and marks those that it can't reach. A zone of
	// which it knows no entry gets an unreachable status without an Entry, so that
	// operators see that the zone can't be vouched for.
	Fleet(ctx context.Context) []EntryStatus
	// Withdraw puts the withdrawal of a key in force here, and sends it to every
	// known entry. It returns a confirmation for each, this entry first, and one
	// without an Entry for a zone of which it knows none. The team is empty if nobody
	// named it.
	Withdraw(ctx context.Context, w key.Withdrawal) []Confirmation
	// View returns every row of the entry's view of the configuration.
	View() config.Delta
	// Dump returns the process's state, to be encoded as JSON, without secrets.
	Dump() any
}

// EntryStatus is what an entry tells of itself.
type EntryStatus struct {
	Entry core.EntryID
	Zone  core.ZoneID
	// Reachable is false if the entry did not answer; the rest is then zero.
	Reachable bool
	// Version is the configuration version in force.
	Version core.Version
	// KeysFreshAt is the youngest evidence that the key list is whole.
	KeysFreshAt time.Time
	Shards      int
	Teams       []TeamLoad
}

// TeamLoad is a team's work at one entry.
type TeamLoad struct {
	Team    core.TeamID
	Running core.Slots
	Queued  int
}

// Confirmation says whether something is in force at an entry.
type Confirmation struct {
	Entry     core.EntryID
	Zone      core.ZoneID
	Confirmed bool
	// Detail says why it can't be confirmed.
	Detail string
}

// Server implements OperatorService. Table, Backend and KeyDigest must be set.
type Server struct {
	Table   platform.Table
	Backend Backend
	// Entry names this entry in reports.
	Entry core.EntryID
	// Log gets a line for each change, withdrawal and refusal.
	Log zerolog.Logger
	// KeyDigest is the digest of the operator key.
	KeyDigest core.KeyDigest
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// Test-only: each switches one safeguard off.
	noPin, noRecord, tableFirst bool
}

var _ lavenderpondv1connect.OperatorServiceHandler = (*Server)(nil)

// Handler returns the URL path of the service and its HTTP handler.
func (s *Server) Handler() (string, http.Handler) {
	path, h := lavenderpondv1connect.NewOperatorServiceHandler(s, connectrpc.Options(),
		connect.WithReadMaxBytes(maxRequestBytes), connect.WithInterceptors(connect.UnaryInterceptorFunc(s.intercept)))
	return path, s.requireKey(connectrpc.LimitBody(h, maxRequestBytes))
}

// requireKey lets in only who has the operator key, before anything is read of a body.
func (s *Server) requireKey(next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.authorized(r.Header) {
			next.ServeHTTP(w, r)
			return
		}
		err := core.Errorf(core.CodeNotAuthorized, "send the operator key as Authorization: Bearer KEY")
		s.logCall(r.URL.Path, nil, err)
		if !errorWriter.IsSupported(r) {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		_ = errorWriter.Write(w, r, toConnect(err))
	})
}

// intercept gives errors their code and writes the log.
func (s *Server) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		ctx, cancel := s.shortenDeadline(ctx)
		defer cancel()
		resp, err := next(ctx, r)
		s.logCall(r.Spec().Procedure, r.Any(), err)
		if err != nil {
			return nil, toConnect(err)
		}
		return resp, nil
	}
}

// changeRequest is a request that makes a change.
type changeRequest interface {
	GetChangeId() string
	GetAuthor() string
}

func (s *Server) logCall(procedure string, message any, err error) {
	code, line := core.CodeDone, s.Log.Debug()
	m, isChange := message.(changeRequest)
	switch {
	case err != nil:
		code, line = toCoreError(err).Code, s.Log.Warn().Err(err)
	case isChange:
		line = s.Log.Info()
	}
	if isChange {
		line = line.Str("change", m.GetChangeId()).Str("author", m.GetAuthor())
	}
	line.Str("call", path.Base(procedure)).Int("code", int(code)).Str("code_name", code.String()).Msg("operator call")
}

// shortenDeadline leaves a fifth of the caller's time for the way back: a command that ran
// into its own timeout while the table is down could not tell a change that was
// not made from a lost answer.
func (s *Server) shortenDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithTimeout(ctx, defaultTimeout)
	}
	return context.WithTimeout(ctx, time.Until(deadline)*4/5)
}

func (s *Server) authorized(h http.Header) bool {
	const scheme = "Bearer "
	value := h.Get("Authorization")
	if len(value) <= len(scheme) || value[:len(scheme)] != scheme || s.KeyDigest == "" {
		return false
	}
	digest := core.Digest(value[len(scheme):])
	return subtle.ConstantTimeCompare([]byte(digest), []byte(s.KeyDigest)) == 1
}

func (s *Server) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}
