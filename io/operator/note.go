package operator

import (
	"context"
	"fmt"

	"lavenderpond/core"
	"lavenderpond/core/config"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// noteOn tells what an operator should know after c. A limit below what runs
// stops nothing that runs; the note shows how far the team still is above it.
func (s *Server) noteOn(ctx context.Context, c config.Change, m *pb.ApplyChangeRequest) string {
	t, ok := c.(config.SetTeam)
	if !ok || m.GetSetTeam().Limit == nil || t.Value.Limit == 0 {
		return ""
	}
	var running core.Slots
	unreachable := 0
	for _, e := range s.Backend.Fleet(ctx) {
		if !e.Reachable {
			unreachable++
		}
		for _, l := range e.Teams {
			if l.Team == t.Team {
				running += l.Running
			}
		}
	}
	note := ""
	if running > t.Value.Limit {
		note = fmt.Sprintf("team %s runs %d, %d above its limit of %d; nothing new starts until it is below",
			t.Team, running, running-t.Value.Limit, t.Value.Limit)
	}
	if note != "" && unreachable > 0 {
		note += fmt.Sprintf("; %d entries could not be asked", unreachable)
	}
	return note
}
