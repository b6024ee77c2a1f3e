package standin

import (
	"context"
	"encoding/json"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
)

// Probing of entries. It stands in for the platform's own knowledge of which entry VMs
// run.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// entryRow is the part of an entry's row that the stand-in reads.
type entryRow struct {
	Entry core.EntryID `json:"entry"`
	Zone  core.ZoneID  `json:"zone"`
	Peer  string       `json:"peer"`
}

// WatchEntries keeps the entries with a running process on the live list until ctx ends. A
// frozen process counts as live, because its VM is.
func (s *Server) WatchEntries(ctx context.Context) error {
	return supervisor.Every(ctx, probeInterval, s.probeEntries)
}

func (s *Server) probeEntries(ctx context.Context) {
	s.mu.Lock()
	rows := s.rows.Scan(table.PrefixEntry)
	s.mu.Unlock()
	var g supervisor.Group
	for _, row := range rows {
		var e entryRow
		if json.Unmarshal(row.Value, &e) == nil {
			g.Go(func() { s.probeEntry(ctx, e) })
		}
	}
	g.Wait()
}

func (s *Server) probeEntry(ctx context.Context, e entryRow) {
	d := net.Dialer{Timeout: probeTimeout}
	conn, err := d.DialContext(ctx, "tcp", e.Peer)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return // Nothing listens there, so the process has ended.
	}
	if err == nil {
		_ = conn.Close()
	}
	// A VM that is slow to answer still exists, and a VM that isn't listed counts as gone
	// permanently.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLive(LiveReport{Liveness: platform.Liveness{Name: e.Entry.Name(), Zone: e.Zone, Started: e.Entry.Started()}})
}
