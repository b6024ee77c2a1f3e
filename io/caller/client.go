package caller

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lavenderpond/core"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/gen/lavenderpond/v1/lavenderpondv1connect"
)

// Client submits the requests of one team to one entry.
type Client struct {
	Team core.TeamID
	// Key is the team key. It is sent with each request and never printed.
	Key string

	service lavenderpondv1connect.CallerServiceClient
}

// NewClient returns a client of the entry at baseURL, such as http://10.0.0.1:7001.
func NewClient(h *http.Client, baseURL string, team core.TeamID, key string) *Client {
	return &Client{Team: team, Key: key, service: lavenderpondv1connect.NewCallerServiceClient(h, baseURL)}
}

// Submit sends one attempt of a request and returns the answer.
func (c *Client) Submit(ctx context.Context, req core.Request, noWait bool) (*pb.Answer, error) {
	length := uint64(len(req.Body))
	m := connect.NewRequest(&pb.SubmitRequest{
		Team: string(c.Team), Id: string(req.Key.ID), Attempt: uint32(req.Attempt), Queue: string(req.Queue),
		Deadline: timestamppb.New(req.Deadline), FirstSent: toTimestamp(req.FirstSent),
		Idempotent: req.Idempotent, Urgent: req.Urgent,
		DeclaredRunMs: uint32(req.DeclaredRun / time.Millisecond),
		Body:          req.Body, BodyLength: &length, NoWait: noWait,
	})
	m.Header().Set("Authorization", "Bearer "+c.Key)
	resp, err := c.service.Submit(ctx, m)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
