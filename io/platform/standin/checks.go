package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
)

// Bounds of a bulk status check.
const (
	// bulkCheckTimeout is how long the reply waits for VMs. VMs that haven't answered by
	// then are omitted.
	bulkCheckTimeout = time.Second
	// maxConcurrentChecks bounds the VMs that are queried at the same time.
	maxConcurrentChecks = 16
)

// errRefused means that a VM refused an order.
var errRefused = errors.New("the VM refused")

// checkVMs forwards orders to many VMs and queries the status of each.
func (s *Server) checkVMs(w http.ResponseWriter, r *http.Request) {
	var bulk platform.BulkCheckRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&bulk); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), bulkCheckTimeout)
	defer cancel()
	zone := core.ZoneID(r.PathValue("zone"))
	var g supervisor.Group
	var mu sync.Mutex
	reply := platform.BulkCheckReply{VMs: []platform.CheckResult{}}
	requests := make(chan platform.CheckRequest)
	for range maxConcurrentChecks {
		g.Go(func() {
			for check := range requests {
				if result, ok := s.checkVM(ctx, zone, check); ok {
					mu.Lock()
					reply.VMs = append(reply.VMs, result)
					mu.Unlock()
				}
			}
		})
	}
	for _, check := range bulk.VMs {
		requests <- check
	}
	close(requests)
	g.Wait()
	writeJSON(w, reply)
}

// checkVM returns false if the platform doesn't know the VM, or if the VM doesn't answer
// in time.
func (s *Server) checkVM(ctx context.Context, zone core.ZoneID, check platform.CheckRequest) (platform.CheckResult, bool) {
	s.mu.Lock()
	vm := s.live[liveKey(zone, string(check.VM))]
	s.mu.Unlock()
	if vm == nil || vm.control == "" {
		return platform.CheckResult{}, false
	}
	result := platform.CheckResult{VM: check.VM}
	if check.Drain != nil {
		result.Drained = callVM(ctx, http.MethodPost, vm.control+"/control/drain", check.Drain, nil) == nil
	}
	var state VMState
	err := callVM(ctx, http.MethodGet, vm.control+"/control/state", nil, &state)
	if ctx.Err() != nil {
		return result, false
	}
	// A VM that doesn't answer is not up.
	result.Up, result.Running = err == nil && state.Up, int(state.Running)
	return result, true
}

// callVM sends request to a VM and decodes its reply into reply, unless that is nil.
func callVM(ctx context.Context, method, url string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errRefused
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}
