package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/home"
)

// leaseGrace is how long after the end of a task's lease the client still waits for the
// answer.
const leaseGrace = 2 * time.Second

// queryTimeout bounds each call other than the start of a task.
const queryTimeout = 2 * time.Second

// Client starts tasks on targets, queries them and stops them. It is safe for
// concurrent use.
type Client struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// MaxAnswer is the maximum size of an answer's body, in bytes.
	MaxAnswer int64
	HTTP      *http.Client

	// disabled is set by tests only, to show that each safeguard is needed.
	disabled struct{ startByCheck, taskCheck, lengthCheck bool }
}

// NewClient returns a client with at most the given number of connections to each target.
// It rejects answers of more than maxAnswer bytes.
func NewClient(connections int, maxAnswer int64) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Client{
		MaxAnswer: maxAnswer,
		HTTP: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: connections,
			MaxConnsPerHost:     connections,
			DisableCompression:  true,
			IdleConnTimeout:     time.Minute,
		}},
	}
}

// Start sends d to the target at address, waits for the answer, and returns how the
// dispatch ended. It returns NotStarted only if the task certainly did not and will not
// start.
func (c *Client) Start(ctx context.Context, address string, d home.Dispatch) home.End {
	ctx, cancel := context.WithDeadline(ctx, d.LeaseUntil.Add(leaseGrace))
	defer cancel()
	req, err := c.request(ctx, http.MethodPost, address, d.Request.Key, bytes.NewReader(d.Request.Body))
	if err != nil {
		return home.NotStarted{Reason: home.Unreachable}
	}
	// The HTTP library must not resend the body, because a second write could start the
	// task twice. Without GetBody it can't. Wrapping the reader would prevent a resend as
	// well, but the library writes a body of an unknown type separately from the headers,
	// which costs a second system call for each dispatch.
	req.GetBody = nil
	req.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(d.DispatchNumber), 10))
	setMillis(req.Header, HeaderStartBy, d.StartBy)
	setMillis(req.Header, HeaderLeaseUntil, d.LeaseUntil)
	// The clock is read right before the write. If the process was paused after it decided
	// to start the task, its shard lease may have expired, and it must not start work.
	if !c.now().Before(d.StartBy) && !c.disabled.startByCheck {
		return home.NotStarted{Reason: home.Late}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return c.endOfSendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readEnd(resp, d)
}

// Ask queries the state of a task on the target, and its answer if the task has ended.
func (c *Client) Ask(ctx context.Context, address string, key core.RequestKey) home.Finding {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := c.request(ctx, http.MethodGet, address, key, nil)
	if err != nil {
		return home.FoundNoAnswer{}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return home.FoundNoAnswer{}
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.Header.Get(HeaderState) {
	case StateDone:
		body, err := c.readBody(resp, key)
		if err != nil {
			return home.FoundNoAnswer{}
		}
		return home.FoundDone{Body: body}
	case StateRunning:
		return home.FoundRunning{}
	case StateStopped:
		return home.FoundStopped{}
	case StateNone:
		return home.FoundNoRecord{}
	default:
		return home.FoundNoAnswer{}
	}
}

// Accepts reports whether the target accepts new tasks. It sends a task whose start time
// has passed already. A target that accepts tasks refuses this one as late, so nothing
// starts.
func (c *Client) Accepts(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := c.request(ctx, http.MethodPost, address, core.RequestKey{Team: "probe", ID: "probe"}, http.NoBody)
	if err != nil {
		return false
	}
	past := time.UnixMilli(1)
	setMillis(req.Header, HeaderStartBy, past)
	setMillis(req.Header, HeaderLeaseUntil, past)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.Header.Get(HeaderNotStarted) == ReasonLate
}

// Stop tells the target to stop a task. It ignores errors: if the call is lost, the task
// stops at the end of its lease.
func (c *Client) Stop(ctx context.Context, address string, key core.RequestKey) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := c.request(ctx, http.MethodDelete, address, key, nil)
	if err != nil {
		return
	}
	if resp, err := c.HTTP.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (c *Client) request(ctx context.Context, method, address string, key core.RequestKey, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+TaskPath(key), body)
	if err != nil {
		return nil, errors.Wrap(err, "create target request")
	}
	req.Header.Set(HeaderTask, key.String())
	return req, nil
}

// endOfSendError distinguishes a request that was never sent from one that may have
// arrived. Only a failed dial proves that nothing was sent.
func (c *Client) endOfSendError(err error) home.End {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return home.NotStarted{Reason: home.Unreachable}
	}
	return home.Lost{}
}

// readEnd returns how the dispatch ended according to the target's response.
func (c *Client) readEnd(resp *http.Response, d home.Dispatch) home.End {
	if reason := resp.Header.Get(HeaderNotStarted); reason != "" {
		return notStarted(reason)
	}
	if resp.Header.Get(HeaderState) == StateStopped {
		return home.Stopped{}
	}
	if resp.StatusCode != http.StatusOK {
		return home.Failed{}
	}
	if resp.Header.Get(HeaderAttempt) != strconv.FormatUint(uint64(d.DispatchNumber), 10) {
		return home.Damaged{}
	}
	body, err := c.readBody(resp, d.Request.Key)
	if err != nil {
		return home.Damaged{}
	}
	return home.Answered{Body: body}
}

// readBody returns the answer's body if it is complete and belongs to the task of key. A
// truncated answer is shorter than the length that it states, and a misdirected answer
// names another task.
func (c *Client) readBody(resp *http.Response, key core.RequestKey) ([]byte, error) {
	if resp.Header.Get(HeaderTask) != key.String() && !c.disabled.taskCheck {
		return nil, errors.New("answer belongs to another task")
	}
	length, err := strconv.ParseInt(resp.Header.Get(HeaderLength), 10, 64)
	if err != nil || length < 0 || length > c.MaxAnswer {
		return nil, errors.New("answer has no valid length")
	}
	body, err := readUpTo(resp.Body, length)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(body)) != length && !c.disabled.lengthCheck {
		return nil, errors.New("answer is truncated")
	}
	return body, nil
}

// readUpTo reads r to its end, but at most one byte more than length. Its buffer is as
// long as the answer, because answers are kept until the deadlines of their requests. The
// initial buffer of io.ReadAll has 512 bytes, five times what a short answer needs.
func readUpTo(r io.Reader, length int64) ([]byte, error) {
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return body[:n], nil
	}
	if err != nil {
		return nil, err
	}
	var more [1]byte
	n, err = io.ReadFull(r, more[:])
	if errors.Is(err, io.EOF) {
		return body, nil
	}
	return append(body, more[:n]...), err
}

func (c *Client) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

var notStartedReasons = map[string]home.Reason{
	ReasonFull:    home.Full,
	ReasonLeaving: home.Leaving,
	ReasonLate:    home.Late,
	ReasonInvalid: home.Invalid,
}

// notStarted converts a value of HeaderNotStarted. With an unknown reason, it is open
// whether the task started.
func notStarted(reason string) home.End {
	r, ok := notStartedReasons[reason]
	if !ok {
		return home.Lost{}
	}
	return home.NotStarted{Reason: r}
}

// noRedirect makes the client return a redirect as the answer. Following it would send the
// task a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
