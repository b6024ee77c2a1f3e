// Package standin is a small in-memory stand-in for the platform. It serves the table,
// the object store, the list of live VMs and the control of VMs over HTTP. It can be made
// to be slow, to be down, or to lose answers after a write took effect.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
)

// maxBodyBytes is the maximum size of a request body, in bytes.
const maxBodyBytes = 16 << 20

// Server is the stand-in. The zero value is ready to use, with the wall clock. A Server
// is safe for concurrent use.
type Server struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	rows    table.Memory
	objects map[string][]byte
	live    map[string]*liveVM
	faults  Faults
	reads   int64
	writes  int64
}

// Handler returns the HTTP interface of the platform and the stand-in's own routes, which
// set faults, report live VMs and return request counts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathRows, s.withFaults(s.getRows))
	mux.HandleFunc("POST "+platform.PathTransact, s.withFaults(s.transact))
	mux.HandleFunc("PUT "+platform.PathObjects+"{name}", s.withFaults(s.putObject))
	mux.HandleFunc("GET "+platform.PathObjects+"{name}", s.withFaults(s.getObject))
	mux.HandleFunc("GET "+platform.PathLive, s.getLive)
	mux.HandleFunc("POST /standin/live", s.postLive)
	mux.HandleFunc("POST /standin/faults", s.postFaults)
	mux.HandleFunc("GET /standin/counts", s.getCounts)
	mux.HandleFunc("POST /vms/{zone}/{vm}/reboot", s.reboot)
	mux.HandleFunc("POST /vms/{zone}/{vm}/drain", s.drain)
	mux.HandleFunc("GET /vms/{zone}/{vm}", s.getVM)
	mux.HandleFunc("POST /vms/{zone}/looks", s.checkVMs)
	return mux
}

func (s *Server) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

func (s *Server) getRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	reply := platform.RowsReply{Revision: s.rows.Revision()}
	switch {
	case query.Has("key"):
		if row := s.rows.Read(table.Key(query.Get("key"))); row.Version > 0 {
			reply.Rows = []table.Row{row}
		}
	case query.Has("since"):
		since, err := strconv.ParseUint(query.Get("since"), 10, 64)
		if err != nil {
			http.Error(w, "since: not a revision", http.StatusBadRequest)
			return
		}
		reply.Rows = s.rows.Changes(query.Get("prefix"), table.Revision(since))
	default:
		reply.Rows = s.rows.Scan(query.Get("prefix"))
	}
	writeJSON(w, reply)
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var t table.Transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&t); err != nil {
		http.Error(w, "malformed transaction: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if err := s.rows.Transact(t); err != nil {
		http.Error(w, err.Error(), platform.StatusConflict)
		return
	}
	writeJSON(w, struct {
		Revision table.Revision `json:"revision"`
	}{s.rows.Revision()})
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	s.objects[r.PathValue("name")] = data
	w.WriteHeader(http.StatusOK)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, struct {
		Reads  int64 `json:"reads"`
		Writes int64 `json:"writes"`
	}{s.reads, s.writes})
}

func zoneParam(r *http.Request) core.ZoneID { return core.ZoneID(r.URL.Query().Get("zone")) }

func liveKey(zone core.ZoneID, name string) string { return string(zone) + "/" + name }

func inZone(key string, zone core.ZoneID) bool { return strings.HasPrefix(key, string(zone)+"/") }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
