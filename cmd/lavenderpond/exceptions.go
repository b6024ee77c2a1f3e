package main

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type exceptionsCmd struct {
	List   exceptionsListCmd   `cmd:"" help:"List the exceptions."`
	Add    exceptionsAddCmd    `cmd:"" help:"Add an exception, with a reason and an end."`
	Retire exceptionsRetireCmd `cmd:"" help:"End an exception now."`
}

type exceptionsListCmd struct{}

// Run lists exceptions.
func (exceptionsListCmd) Run(a *app) error {
	reply, err := askAny(a, operatorClient.ListExceptions, &pb.ListExceptionsRequest{})
	if err != nil {
		return err
	}
	a.warnView(reply.View)
	var g grid
	g.add("ID", "SCOPE", "VALUE", "END", "ENDED", "AUTHOR", "REASON")
	for _, e := range reply.Exceptions {
		g.add(e.Id, strings.TrimPrefix(e.Scope, table.PrefixConfig), formatValues(e.Value), formatTime(e.End), e.Ended, e.Author, e.Reason)
	}
	return a.show(reply, g)
}

func formatValues(m map[string]int32) string {
	var parts []string
	for name, n := range m {
		parts = append(parts, fmt.Sprintf("%s=%d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}

type exceptionsAddCmd struct {
	ID     string           `arg:"" help:"Name of the exception."`
	Scope  string           `required:"" placeholder:"KIND/NAME" help:"What it changes: team/NAME, pool/NAME, queue/NAME or defaults."`
	Value  map[string]int32 `required:"" help:"Values in place of the scope's, as limit=40."`
	Reason string           `help:"Why; the monitor reads it. Needed."`
	End    time.Time        `help:"When it ends, as 2026-12-24T18:00:00Z. Needed."`
}

// Run adds an exception.
func (c exceptionsAddCmd) Run(a *app) error {
	e := &pb.AddException{Id: c.ID, Scope: "config/" + c.Scope, Value: c.Value, Reason: c.Reason}
	if !c.End.IsZero() {
		e.End = timestamppb.New(c.End)
	}
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_AddException{AddException: e}})
}

type exceptionsRetireCmd struct {
	ID     string `arg:"" help:"Name of the exception."`
	Reason string `help:"Why; the monitor reads it. Needed."`
}

// Run retires an exception.
func (c exceptionsRetireCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_RetireException{
		RetireException: &pb.RetireException{Id: c.ID, Reason: c.Reason},
	}})
}
