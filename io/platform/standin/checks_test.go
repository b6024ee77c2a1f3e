package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/io/platform"
)

// A controller must not count a VM as idle if a task started on it after its tasks were
// counted, or as refusing work if it didn't accept the order. The stand-in must forward the
// order before it counts the tasks, report for each VM whether it accepted its order, report
// a VM that doesn't answer as down, and omit a VM that it doesn't know.
func TestCheckVMs(t *testing.T) {
	var paths []string
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths = append(paths, r.URL.Path)
		_, _ = io.WriteString(w, `{"up":true,"running":2}`)
	}))
	defer vm.Close()
	refuses := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/drain") {
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = io.WriteString(w, `{"up":true}`)
	}))
	defer refuses.Close()
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()

	s := &Server{}
	for name, control := range map[string]string{"drains": vm.URL, "refuses": refuses.URL, "dead": dead.URL} {
		s.updateLive(LiveReport{Liveness: platform.Liveness{Name: name, Zone: "z"}, Control: control})
	}
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	drain := &platform.DrainRequest{Until: time.Now().Add(time.Minute), Fence: 3}
	results, err := platform.NewClient(h.URL).CheckVMs(t.Context(), "z", []platform.CheckRequest{
		{VM: "drains", Drain: drain}, {VM: "refuses", Drain: drain}, {VM: "dead", Drain: drain}, {VM: "unknown"},
	})
	assert.NilError(t, err)
	slices.SortFunc(results, func(a, b platform.CheckResult) int { return strings.Compare(string(a.VM), string(b.VM)) })
	assert.DeepEqual(t, results, []platform.CheckResult{
		{VM: core.VMID("dead")},
		{VM: "drains", VMStatus: platform.VMStatus{Up: true, Running: 2}, Drained: true},
		{VM: "refuses", VMStatus: platform.VMStatus{Up: true}},
	})
	assert.DeepEqual(t, paths, []string{"/control/drain", "/control/state"})
}
