package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// The platform's HTTP paths, and the status codes that have a specific meaning.
const (
	PathRows     = "/table/rows"
	PathTransact = "/table/transact"
	PathObjects  = "/objects/"
	PathLive     = "/live"

	StatusConflict = http.StatusConflict
)

// maxReplyBytes is the maximum size of a reply that is read from the platform, in bytes.
const maxReplyBytes = 64 << 20

// RowsReply is the reply to a read, scan or changes request.
type RowsReply struct {
	Rows     []table.Row    `json:"rows"`
	Revision table.Revision `json:"revision"`
}

// Client accesses the platform's service at BaseURL. If HTTP is nil, a client with
// DefaultTimeout is used. A Client is safe for concurrent use.
type Client struct {
	BaseURL string
	HTTP    *http.Client
	// Zone, if set, is sent with every request, for the platform's logs.
	Zone core.ZoneID
}

// ZoneHeader is the HTTP header that names the zone a request to the platform comes from.
const ZoneHeader = "Lavenderpond-Zone"

var (
	_ Table    = (*Client)(nil)
	_ Objects  = (*Client)(nil)
	_ LiveList = (*Client)(nil)
)

// DefaultTimeout bounds one request to the platform. A slow table must not block the
// loops that renew ownership, which fall back on their peers.
const DefaultTimeout = 2 * time.Second

// NewClient returns a client of the platform's service at baseURL.
func NewClient(baseURL string) *Client {
	return &Client{BaseURL: baseURL, HTTP: &http.Client{Timeout: DefaultTimeout}}
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, key table.Key) (table.Row, error) {
	reply, err := c.rows(ctx, url.Values{"key": {string(key)}})
	if err != nil {
		return table.Row{}, err
	}
	if len(reply.Rows) == 0 {
		return table.Row{Key: key}, nil
	}
	return reply.Rows[0], nil
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]table.Row, table.Revision, error) {
	reply, err := c.rows(ctx, url.Values{"prefix": {prefix}})
	return reply.Rows, reply.Revision, err
}

// Changes implements Table.
func (c *Client) Changes(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	reply, err := c.rows(ctx, url.Values{"prefix": {prefix}, "since": {fmt.Sprint(since)}})
	return reply.Rows, reply.Revision, err
}

// Transact implements Table.
func (c *Client) Transact(ctx context.Context, t table.Transaction) error {
	body, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	_, status, err := c.do(ctx, http.MethodPost, c.BaseURL+PathTransact, body)
	switch {
	case err != nil:
		// The request may have been sent. Only a refusal by the table itself proves that
		// nothing was written.
		return errors.Wrap(table.ErrOutcomeUnknown, err.Error())
	case status == StatusConflict:
		return table.ErrConflict
	case status == http.StatusServiceUnavailable:
		return table.ErrUnreachable
	case status != http.StatusOK:
		return errors.Wrapf(table.ErrOutcomeUnknown, "status %d", status)
	}
	return nil
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	return c.expectOK(c.do(ctx, http.MethodPut, c.BaseURL+PathObjects+url.PathEscape(name), data))
}

// Get implements Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	data, status, err := c.do(ctx, http.MethodGet, c.BaseURL+PathObjects+url.PathEscape(name), nil)
	if err == nil && status == http.StatusNotFound {
		return nil, errors.Wrap(ErrObjectNotFound, name)
	}
	return data, c.expectOK(data, status, err)
}

// Live implements LiveList.
func (c *Client) Live(ctx context.Context, zone core.ZoneID) ([]Liveness, error) {
	u := c.BaseURL + PathLive + "?" + url.Values{"zone": {string(zone)}}.Encode()
	data, status, err := c.do(ctx, http.MethodGet, u, nil)
	if err := c.expectOK(data, status, err); err != nil {
		return nil, err
	}
	var live []Liveness
	return live, errors.Wrap(json.Unmarshal(data, &live), "decode live list")
}

func (c *Client) rows(ctx context.Context, query url.Values) (RowsReply, error) {
	var reply RowsReply
	data, status, err := c.do(ctx, http.MethodGet, c.BaseURL+PathRows+"?"+query.Encode(), nil)
	if err := c.expectOK(data, status, err); err != nil {
		return reply, err
	}
	return reply, errors.Wrap(json.Unmarshal(data, &reply), "decode rows")
}

func (c *Client) expectOK(_ []byte, status int, err error) error {
	if err != nil {
		return errors.Wrap(table.ErrUnreachable, err.Error())
	}
	if status != http.StatusOK {
		return errors.Wrapf(table.ErrUnreachable, "status %d", status)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, u string, body []byte) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, 0, errors.Wrap(err, "platform request")
	}
	if c.Zone != "" {
		req.Header.Set(ZoneHeader, string(c.Zone))
	}
	resp, err := c.http().Do(req)
	if err != nil {
		return nil, 0, errors.Wrap(err, "platform request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return data, resp.StatusCode, errors.Wrap(err, "platform reply")
}

func (c *Client) http() *http.Client {
	if c.HTTP == nil {
		return &http.Client{Timeout: DefaultTimeout}
	}
	return c.HTTP
}
