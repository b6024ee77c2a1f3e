// Package operator serves operators' commands on an entry. They change the platform's
// table, list its rows, and report which configuration and which withdrawals are in force
// at which entry.
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

// maxRequestBytes is the maximum size of an operator's request.
const maxRequestBytes = 1 << 20

// defaultTimeout bounds a request whose caller sets no timeout.
const defaultTimeout = 10 * time.Second

// Backend provides the functions of the daemon that the service needs.
type Backend interface {
	// Fleet returns the status of this entry first, and then of every other known entry.
	// It returns before ctx ends and marks the entries that it can't reach. A zone
	// without a known entry gets an unreachable status with an empty Entry, so that
	// operators see that the state of the zone is unknown.
	Fleet(ctx context.Context) []EntryStatus
	// Withdraw puts the withdrawal of a key in force at this entry and sends it to every
	// known entry. It returns a confirmation for each, with this entry first. A zone
	// without a known entry gets a confirmation with an empty Entry. The team of w is
	// empty if it isn't known.
	Withdraw(ctx context.Context, w key.Withdrawal) []Confirmation
	// View returns every row of the entry's view of the configuration.
	View() config.Delta
	// Dump returns the state of the process without secrets, as a value to encode as JSON.
	Dump() any
}

// EntryStatus is the status that an entry reports of itself.
type EntryStatus struct {
	Entry core.EntryID
	Zone  core.ZoneID
	// Reachable is false if the entry did not answer; the rest is then zero.
	Reachable bool
	// Version is the configuration version in force.
	Version core.Version
	// KeysFreshAt is the latest time at which the entry's key list was known to be
	// complete.
	KeysFreshAt time.Time
	Shards      int
	Teams       []TeamLoad
}

// TeamLoad is the load of one team at one entry.
type TeamLoad struct {
	Team    core.TeamID
	Running core.Slots
	Queued  int
}

// Confirmation says whether a change or a withdrawal is in force at an entry.
type Confirmation struct {
	Entry     core.EntryID
	Zone      core.ZoneID
	Confirmed bool
	// Detail says why it isn't confirmed; empty if it is.
	Detail string
}

// Server implements OperatorService. Table, Backend and KeyDigest must be set.
type Server struct {
	Table   platform.Table
	Backend Backend
	// Entry is the id of this entry, for reports.
	Entry core.EntryID
	// Log gets a line for each change, withdrawal and refusal.
	Log zerolog.Logger
	// KeyDigest is the digest of the operator key.
	KeyDigest core.KeyDigest
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// For tests only: each field disables one safeguard.
	noPinnedRows, noChangeRecord, withdrawTableFirst bool
}

var _ lavenderpondv1connect.OperatorServiceHandler = (*Server)(nil)

// Handler returns the URL path of the service and its HTTP handler.
func (s *Server) Handler() (string, http.Handler) {
	path, h := lavenderpondv1connect.NewOperatorServiceHandler(s, connectrpc.Options(),
		connect.WithReadMaxBytes(maxRequestBytes), connect.WithInterceptors(connect.UnaryInterceptorFunc(s.intercept)))
	return path, s.requireKey(connectrpc.LimitBody(h, maxRequestBytes))
}

// requireKey refuses requests without the operator key before it reads their bodies.
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

// intercept bounds the time of a call, logs it, and converts its error to a connect error.
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

// changeRequest is implemented by the messages of requests that change something.
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

// shortenDeadline reserves a fifth of the caller's time for the reply. A command that ran
// into its own timeout while the table is down could not distinguish a change that wasn't
// made from a lost answer.
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
