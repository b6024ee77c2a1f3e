package operator

import (
	"context"
	"fmt"
	"strings"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// changeNote returns what an operator should know after change c, or "". A new limit
// doesn't stop running tasks, so the note says how far the team is still above it.
func (s *Server) changeNote(ctx context.Context, c config.Change, m *pb.ApplyChangeRequest) string {
	if note := s.missingReferenceNote(ctx, c); note != "" {
		return note
	}
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

// missingReferenceNote returns a note if c refers to a team, pool or other row that isn't
// set. The name may be misspelt, and the key, queue or exception would then have no
// visible effect. The change isn't refused, because rows may be set in any order.
func (s *Server) missingReferenceNote(ctx context.Context, c config.Change) string {
	switch c := c.(type) {
	case config.GrantKey:
		return s.missingRowNote(ctx, table.TeamKey(c.Team), "the key works once it is")
	case config.SetQueue:
		if c.Value.Pool == "" {
			return ""
		}
		return s.missingRowNote(ctx, table.PoolConfigKey(c.Value.Pool), "the queue's requests find no VM until it is")
	case config.AddException:
		if c.Scope == table.ConfigDefaults {
			return ""
		}
		return s.missingRowNote(ctx, c.Scope, "the exception changes nothing until it is")
	default:
		return ""
	}
}

// missingRowNote returns a note with the consequence if key has no row. A row that can't
// be read gives no note and no error, because the change itself has taken effect.
func (s *Server) missingRowNote(ctx context.Context, key table.Key, consequence string) string {
	row, err := s.Table.Read(ctx, key)
	if err != nil || row.Version > 0 {
		return ""
	}
	return fmt.Sprintf("no %s is set; %s", strings.TrimPrefix(string(key), table.PrefixConfig), consequence)
}

// unknownZoneNote returns a note if no entry of c's zone has ever published its address.
// The zone may be misspelt, and nothing would then drain, check or maintain its VMs.
func (s *Server) unknownZoneNote(ctx context.Context, c fleetChange) string {
	zone := ""
	switch c := c.(type) {
	case addVM:
		zone = c.Zone
	case waveChange:
		zone = c.zone
	}
	if zone == "" {
		return ""
	}
	rows, _, err := s.Table.Scan(ctx, table.PrefixEntry+zone+"/")
	if err != nil || len(rows) > 0 {
		return ""
	}
	return fmt.Sprintf("no entry of zone %s is known; nothing is drained or maintained there until one runs", zone)
}
