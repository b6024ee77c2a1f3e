package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/io/link"
	"lavenderpond/io/supervisor"
)

type linkCommand struct {
	Control netip.AddrPort `help:"Loopback address and port at which the links are told to cut and heal." default:"127.0.0.1:7950"`
	Forward []string       `arg:"" help:"NAME=LISTEN=TARGET: forward connections of link NAME. A name may be given several times."`
}

// Run forwards connections until ctx ends.
func (c *linkCommand) Run(ctx context.Context, log zerolog.Logger) error {
	links, err := parseLinks(c.Forward)
	if err != nil {
		return err
	}
	node := supervisor.Node{Name: "links", Log: log}
	for name, l := range links {
		for _, f := range l.Forwards {
			node.Children = append(node.Children, supervisor.Child{
				Name: name, Run: func(ctx context.Context) error { return l.Serve(ctx, f) },
			})
		}
	}
	node.Children = append(node.Children, supervisor.Child{Name: "control", Run: func(ctx context.Context) error {
		return serve(ctx, c.Control, links.handler(), 0)
	}})
	log.Info().Stringer("control", c.Control).Int("links", len(links)).Msg("forwarding links")
	return node.Run(ctx)
}

// linkSet holds the links of a process by name.
type linkSet map[string]*link.Link

func parseLinks(forwards []string) (linkSet, error) {
	links := make(linkSet)
	for _, text := range forwards {
		name, f, err := parseForward(text)
		if err != nil {
			return nil, errors.Wrapf(err, "%q is not NAME=LISTEN=TARGET on loopback", text)
		}
		if links[name] == nil {
			links[name] = link.New(name)
		}
		links[name].Forwards = append(links[name].Forwards, f)
	}
	return links, nil
}

func parseForward(text string) (string, link.Forward, error) {
	parts := strings.Split(text, "=")
	if len(parts) != 3 {
		return "", link.Forward{}, errors.Errorf("%d parts instead of 3", len(parts))
	}
	var f link.Forward
	for part, to := range map[string]*netip.AddrPort{parts[1]: &f.Listen, parts[2]: &f.Target} {
		address, err := netip.ParseAddrPort(part)
		if err != nil {
			return "", link.Forward{}, errors.Wrap(err, "address")
		}
		if !address.Addr().IsLoopback() {
			return "", link.Forward{}, errors.Errorf("%s is not a loopback address", part)
		}
		*to = address
	}
	return parts[0], f, nil
}

// linkRequest is the body of a call that changes the state of links.
type linkRequest struct {
	// Links are patterns of link names, in the syntax of path.Match.
	Links []string   `json:"links"`
	State link.State `json:"state"`
	// Delay is added to each direction of an open link.
	Delay time.Duration `json:"delay"`
}

// handler returns the control interface. POST /links applies a linkRequest.
func (s linkSet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /links", func(w http.ResponseWriter, r *http.Request) {
		var req linkRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := s.apply(req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

// apply changes the links that the request matches. It fails if there are none.
func (s linkSet) apply(req linkRequest) error {
	if !slices.Contains([]link.State{link.Open, link.Refused, link.Silent, link.Held, link.Deaf}, req.State) {
		return errors.Errorf("unknown state %q", req.State)
	}
	found := 0
	for name, l := range s {
		for _, pattern := range req.Links {
			if ok, err := path.Match(pattern, name); err != nil {
				return errors.Wrap(err, pattern)
			} else if ok {
				l.SetState(req.State, req.Delay)
				found++
				break
			}
		}
	}
	if found == 0 {
		return errors.Errorf("no link matches %q", req.Links)
	}
	return nil
}
