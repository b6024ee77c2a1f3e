package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"time"

	"lavenderpond/core"
	"lavenderpond/io/platform"
)

// LiveTimeout is how long a VM stays on the live list after its last report.
const LiveTimeout = 3 * time.Second

// liveVM is the last report of a VM.
type liveVM struct {
	platform.Liveness
	// control is the base URL at which the VM takes orders; empty for entries.
	control   string
	expiresAt time.Time
}

// LiveReport is the report that a VM, or a program that stands in for it, sends about
// itself. It is repeated more often than LiveTimeout.
type LiveReport struct {
	platform.Liveness
	Control string `json:"control,omitempty"`
	// Gone removes the VM from the list immediately.
	Gone bool `json:"gone,omitempty"`
}

func (s *Server) postLive(w http.ResponseWriter, r *http.Request) {
	var reports []LiveReport
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&reports); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range reports {
		s.updateLive(report)
	}
}

// updateLive applies a report to the live list. The caller holds the mutex.
func (s *Server) updateLive(report LiveReport) {
	if s.live == nil {
		s.live = make(map[string]*liveVM)
	}
	key := liveKey(report.Zone, report.Name)
	if report.Gone {
		delete(s.live, key)
		return
	}
	s.live[key] = &liveVM{Liveness: report.Liveness, control: report.Control, expiresAt: s.now().Add(LiveTimeout)}
}

func (s *Server) getLive(w http.ResponseWriter, r *http.Request) {
	zone := zoneParam(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []platform.Liveness{}
	for key, vm := range s.live {
		if inZone(key, zone) && s.now().Before(vm.expiresAt) {
			list = append(list, vm.Liveness)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	writeJSON(w, list)
}

// reboot forwards the order to the VM.
func (s *Server) reboot(w http.ResponseWriter, r *http.Request) {
	s.forwardToVM(w, r, http.MethodPost, "/control/reboot")
}

// drain forwards the order to the VM.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.forwardToVM(w, r, http.MethodPost, "/control/drain")
}

// getVM queries the VM's status. A VM that doesn't answer is not up.
func (s *Server) getVM(w http.ResponseWriter, r *http.Request) {
	s.forwardToVM(w, r, http.MethodGet, "/control/state")
}

// VMState is the status of a target VM. The platform returns it as the VM reports it.
type VMState struct {
	Up      bool       `json:"up"`
	Running core.Slots `json:"running"`
}

func (s *Server) forwardToVM(w http.ResponseWriter, r *http.Request, method, path string) {
	s.mu.Lock()
	vm := s.live[liveKey(core.ZoneID(r.PathValue("zone")), r.PathValue("vm"))]
	s.mu.Unlock()
	if vm == nil || vm.control == "" {
		http.NotFound(w, r)
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), method, vm.control+path, io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil && method == http.MethodGet {
		writeJSON(w, VMState{})
		return
	}
	if err != nil {
		// An order to a VM that doesn't answer was not carried out.
		http.Error(w, "the VM doesn't answer", http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, _ = io.Copy(&b, resp.Body)
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(b.Bytes())
}
