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

// LiveTimeout is how old the live list is at most before a VM that stopped saying
// that it is there drops out.
const LiveTimeout = 3 * time.Second

// liveVM is what a VM last said of itself.
type liveVM struct {
	platform.Liveness
	// control is the URL at which the VM takes reboots; empty for entries.
	control   string
	expiresAt time.Time
}

// LiveReport is what a VM, or what stands in for it, says of itself. It repeats it
// more often than LiveLag.
type LiveReport struct {
	platform.Liveness
	Control string `json:"control,omitempty"`
	// Gone takes the VM off the list at once.
	Gone bool `json:"gone,omitempty"`
}

func (s *Server) postLive(w http.ResponseWriter, r *http.Request) {
	var reports []LiveReport
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&reports); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range reports {
		s.updateLive(report)
	}
}

// updateLive takes in a post. The caller holds the mutex.
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

// reboot passes the order on to the VM.
func (s *Server) reboot(w http.ResponseWriter, r *http.Request) {
	s.forwardToVM(w, r, http.MethodPost, "/control/reboot")
}

// drain passes the order on to the VM.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.forwardToVM(w, r, http.MethodPost, "/control/drain")
}

// getVM asks the VM for its state; a VM that doesn't answer is not up.
func (s *Server) getVM(w http.ResponseWriter, r *http.Request) {
	s.forwardToVM(w, r, http.MethodGet, "/control/state")
}

// VMState is what the platform says of a target VM.
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
	req, err := http.NewRequestWithContext(r.Context(), method, vm.control+path, io.LimitReader(r.Body, maxBody))
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
