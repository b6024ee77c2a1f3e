package main

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lavenderpond/core"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/gen/lavenderpond/v1/lavenderpondv1connect"
)

// answerGrace is how long after the deadline of a request the command still waits for
// its answer.
const answerGrace = 5 * time.Second

type submitCmd struct {
	Body        string        `arg:"" default:"-" help:"File with the request's body; - reads standard input."`
	Team        string        `required:"" env:"LAVENDERPOND_TEAM" help:"Team that submits."`
	Queue       string        `required:"" help:"Queue of the request."`
	ID          string        `name:"id" help:"Id of the request, unique in the team; else a new one. ZONE~REST names the home zone."`
	Within      time.Duration `default:"1m" help:"The deadline: no work starts later than this from now."`
	Idempotent  bool          `help:"The request may run more than once."`
	Urgent      bool          `help:"Goes before others of the team."`
	DeclaredRun time.Duration `help:"Expected run time; a hint."`
	NoWait      bool          `help:"Return once the request is recorded; fetch the answer later."`
}

// Run submits a request and prints its answer.
func (c submitCmd) Run(a *app) error {
	body, err := a.readBody(c.Body)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = "request-" + a.token()
	}
	a.warnf("id %s\n", c.ID)
	now := a.now()
	length := uint64(len(body))
	m := &pb.SubmitRequest{
		Team: c.Team, Id: c.ID, Queue: c.Queue, Idempotent: c.Idempotent, Urgent: c.Urgent, NoWait: c.NoWait,
		Deadline: timestamppb.New(now.Add(c.Within)), FirstSent: timestamppb.New(now),
		DeclaredRunMs: uint32(c.DeclaredRun.Milliseconds()), Body: body, BodyLength: &length,
	}
	answer, err := a.callEntries(m.Deadline.AsTime().Add(answerGrace), c.ID, func(ctx context.Context, t callerClient) (*pb.Answer, error) {
		m.Attempt++
		return checkAnswer(t.Submit(ctx, t.authorize(connect.NewRequest(m)).(*connect.Request[pb.SubmitRequest])))
	})
	if err != nil {
		return err
	}
	if c.NoWait && answer.Outcome == pb.Outcome_OUTCOME_PENDING {
		return a.showAnswer(answer)
	}
	return a.showOutcome(answer)
}

// requestArg identifies a request that was submitted earlier.
type requestArg struct {
	ID   string `arg:"" name:"id" help:"Id of the request."`
	Team string `required:"" env:"LAVENDERPOND_TEAM" help:"Team that submitted it."`
}

type fetchCmd struct{ requestArg }

// Run fetches the answer of a request and prints it.
func (c fetchCmd) Run(a *app) error {
	m := &pb.FetchRequest{Team: c.Team, Id: c.ID}
	answer, err := a.callEntries(a.now().Add(a.Timeout), c.ID, func(ctx context.Context, t callerClient) (*pb.Answer, error) {
		return checkAnswer(t.Fetch(ctx, t.authorize(connect.NewRequest(m)).(*connect.Request[pb.FetchRequest])))
	})
	if err != nil {
		return err
	}
	return a.showOutcome(answer)
}

type cancelCmd struct{ requestArg }

// Run cancels a request. It succeeds if the request was cancelled in its queue.
func (c cancelCmd) Run(a *app) error {
	m := &pb.CancelRequest{Team: c.Team, Id: c.ID}
	answer, err := a.callEntries(a.now().Add(a.Timeout), c.ID, func(ctx context.Context, t callerClient) (*pb.Answer, error) {
		return checkAnswer(t.Cancel(ctx, t.authorize(connect.NewRequest(m)).(*connect.Request[pb.CancelRequest])))
	})
	if err != nil {
		return err
	}
	if core.Code(answer.Code) == core.CodeCancelled {
		return a.showAnswer(answer)
	}
	return a.showOutcome(answer)
}

// callerClient calls the callers' service of one entry with the team key.
type callerClient struct {
	lavenderpondv1connect.CallerServiceClient
	key string
}

// authorize adds the team key to r and returns r.
func (t callerClient) authorize(r connect.AnyRequest) connect.AnyRequest {
	r.Header().Set("Authorization", "Bearer "+t.key)
	return r
}

// callEntries sends a call to the entries in turn until one answers or the deadline
// passes. Repeating a request is safe, because its id and deadline stay the same and its
// home decides only once about an id.
func (a *app) callEntries(deadline time.Time, id string, send func(context.Context, callerClient) (*pb.Answer, error)) (*pb.Answer, error) {
	addresses, err := a.addresses()
	if err != nil {
		return nil, err
	}
	key, err := a.readKey(a.TeamKeyFile, "LAVENDERPOND_TEAM_KEY")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(a.ctx, deadline.Sub(a.now()))
	defer cancel()
	var stoppingAnswer *pb.Answer
	sent := false
	for n := 0; n < maxRounds && ctx.Err() == nil; n++ {
		if n > 0 {
			a.pause(ctx, n)
		}
		for _, address := range addresses {
			c := lavenderpondv1connect.NewCallerServiceClient(a.http, "http://"+address)
			answer, err := send(ctx, callerClient{c, key})
			switch {
			case err == nil && core.Code(answer.Code) == core.CodeEntryStopping:
				stoppingAnswer = answer
			case err == nil:
				return answer, nil
			case refusedAsTooLarge(err) && !sent:
				return nil, tooLargeError(err)
			default:
				sent = sent || !notSent(err)
				a.warnf("entry %s: %v\n", address, err)
			}
		}
	}
	switch {
	case sent:
		return nil, failf(exitOutcomeUnknown, "no answer came back; the request may have run: lavenderpond fetch %s", id)
	case stoppingAnswer != nil:
		return stoppingAnswer, nil
	default:
		return nil, failf(exitUnreachable, "no entry was reached; nothing was sent")
	}
}

// refusedAsTooLarge reports whether err is an entry's own statement that it did not read
// the request because of its size. If this were treated as a lost answer, the request
// would be sent to every entry in vain, and the caller would be told that it may have
// run although no entry has read it. An error that comes from a proxy or a broken
// connection is not a Connect error from the wire and proves nothing.
func refusedAsTooLarge(err error) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted
}

// tooLargeError returns the numbered error for a request that was refused because of its
// size. The detail is that of the entry, without the name of the code.
func tooLargeError(err error) error {
	detail := err.Error()
	if _, after, ok := strings.Cut(detail, core.CodeTooLarge.String()); ok {
		_, detail, _ = strings.Cut(after, ": ")
	}
	return core.Errorf(core.CodeTooLarge, "%s", detail)
}

// checkAnswer returns the answer, or an error if its body was truncated.
func checkAnswer(r *connect.Response[pb.Answer], err error) (*pb.Answer, error) {
	if err != nil {
		return nil, err
	}
	if r.Msg.Outcome == pb.Outcome_OUTCOME_DONE && r.Msg.BodyLength != uint64(len(r.Msg.Body)) {
		return nil, errors.Errorf("the answer is truncated: %d of %d bytes", len(r.Msg.Body), r.Msg.BodyLength)
	}
	return r.Msg, nil
}

// showOutcome prints an answer that is done. For any other answer it returns an error with
// the matching exit code, and prints the answer only if the output is JSON.
func (a *app) showOutcome(m *pb.Answer) error {
	if m.Outcome == pb.Outcome_OUTCOME_DONE || a.Output == "json" {
		if err := a.showAnswer(m); err != nil || m.Outcome == pb.Outcome_OUTCOME_DONE {
			return err
		}
	}
	e := &core.Error{Code: core.Code(m.Code), Detail: m.Detail}
	if m.ComeBackAt != nil {
		e.ComeBackAt = m.ComeBackAt.AsTime()
	}
	exit := exitOf(e.Code)
	switch {
	case m.Outcome == pb.Outcome_OUTCOME_UNKNOWN:
		exit = exitOutcomeUnknown
	case e.Code == core.CodeMalformed:
		exit = exitNotRun
	}
	return &exitError{exit, e}
}

// showAnswer prints the unchanged body of an answer, or the whole answer as JSON.
func (a *app) showAnswer(m *pb.Answer) error {
	if a.Output == "json" {
		return a.show(m, nil)
	}
	if m.Outcome == pb.Outcome_OUTCOME_DONE {
		_, err := a.stdout.Write(m.Body)
		return errors.Wrap(err, "write body")
	}
	a.warnf("%s: %s\n", m.CodeName, m.Detail)
	return nil
}

func (a *app) readBody(path string) ([]byte, error) {
	if path == "-" {
		body, err := io.ReadAll(a.stdin)
		return body, errors.Wrap(err, "read standard input")
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, failf(exitUsage, "body: %v", err)
	}
	return body, nil
}
