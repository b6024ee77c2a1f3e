package main

import (
	"strings"

	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type teamsCmd struct {
	List teamsListCmd `cmd:"" help:"List the teams, with what they run."`
	Set  teamsSetCmd  `cmd:"" help:"Create a team or change its settings; what isn't given stays."`
}

type teamsListCmd struct{}

// Run lists the teams.
func (teamsListCmd) Run(a *app) error {
	reply, err := askAny(a, operatorClient.ListTeams, &pb.ListTeamsRequest{})
	if err != nil {
		return err
	}
	a.warnView(reply.View)
	if len(reply.Unreachable) > 0 {
		a.warnf("running and queued leave out %s\n", strings.Join(reply.Unreachable, ", "))
	}
	var g grid
	g.add("TEAM", "SHARE", "LIMIT", "RUNNING", "QUEUED", "ROW VERSION")
	for _, t := range reply.Teams {
		g.add(t.Team, orDefault(t.Share), orDefault(t.Limit), t.Running, t.Queued, t.RowVersion)
	}
	return a.show(reply, g)
}

type teamsSetCmd struct {
	Team      string `arg:"" help:"Name of the team."`
	Share     *int32 `help:"Weight when the fleet is full, relative to other teams; 0 is the default's."`
	Limit     *int32 `help:"The most slots that the team may use at once, fleet-wide; 0 is the default's."`
	IfVersion uint64 `help:"Refuse unless the row still has this version."`
}

// Run creates a team or changes its settings.
func (c teamsSetCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{IfVersion: c.IfVersion, Change: &pb.ApplyChangeRequest_SetTeam{
		SetTeam: &pb.SetTeam{Team: c.Team, Share: c.Share, Limit: c.Limit},
	}})
}
