package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// The controller counts a VM as failed only if the platform says so. A platform that doesn't
// know the path, or breaks off its reply, must not take a fleet out of service.
func TestVMControlReplies(t *testing.T) {
	status, body, request := http.StatusOK, `{"up":true,"running":3}`, ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		request = r.Method + " " + r.URL.Path + " " + string(data)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer s.Close()
	c, ctx, vm := NewClient(s.URL), context.Background(), fleet.Ref{Zone: "z", VM: "v"}

	got, err := c.Status(ctx, vm)
	assert.NilError(t, err)
	assert.Equal(t, got, VMStatus{Up: true, Running: 3})
	at := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	assert.NilError(t, c.Reboot(ctx, vm, RebootRequest{NotAfter: at, Fence: 7}))
	assert.Equal(t, request, `POST /vms/z/v/reboot {"not_after":"2026-01-05T00:00:00Z","fence":7}`)
	assert.NilError(t, c.Drain(ctx, vm, DrainRequest{Until: at, Fence: 8}))
	assert.Equal(t, request, `POST /vms/z/v/drain {"until":"2026-01-05T00:00:00Z","fence":8}`)

	status, body = http.StatusConflict, ""
	assert.Assert(t, errors.Is(c.Reboot(ctx, vm, RebootRequest{}), table.ErrConflict))
	status = http.StatusGone
	got, err = c.Status(ctx, vm)
	assert.NilError(t, err)
	assert.Assert(t, !got.Up)
	for _, status = range []int{http.StatusNotFound, http.StatusInternalServerError} {
		_, err = c.Status(ctx, vm)
		assert.Assert(t, err != nil, "status %d says nothing about the VM", status)
	}
	status, body = http.StatusOK, `{"up":tr`
	_, err = c.Status(ctx, vm)
	assert.Assert(t, err != nil)
}

type pollCounter struct{ vms, polls int }

func (l *pollCounter) Live(context.Context, core.ZoneID) ([]Liveness, error) {
	l.polls++
	return make([]Liveness, l.vms), nil
}

// A large zone's list must be read less often: if it were read every second, it would exceed
// a daemon's network budget several times over. A small zone's list is read in every poll.
func TestListPoller(t *testing.T) {
	for vms, want := range map[int]int{17: 60, 1430: 3} {
		l, now := &pollCounter{vms: vms}, time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
		p := listPoller{BytesPerSecond: watcherListBytesPerSecond}
		for range 60 {
			_, _, err := p.poll(context.Background(), now, l, "z")
			assert.NilError(t, err)
			now = now.Add(time.Second)
		}
		assert.Equal(t, l.polls, want, "%d VMs", vms)
	}
}

// A reply that doesn't come from the status check, because the platform doesn't know the
// path, or that is cut off must be an error that says nothing about any VM. Otherwise a
// controller would take VMs out of service because of it.
func TestCheckVMsReplies(t *testing.T) {
	status, body, request := http.StatusOK, `{"vms":[{"vm":"a","up":true,"running":3,"drained":true}]}`, ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		request = r.Method + " " + r.URL.Path + " " + string(data)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer s.Close()
	c, at := NewClient(s.URL), time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	requests := []CheckRequest{{VM: "a", Drain: &DrainRequest{Until: at, Fence: 7}}, {VM: "b"}}

	results, err := c.CheckVMs(t.Context(), "z", requests)
	assert.NilError(t, err)
	assert.DeepEqual(t, results, []CheckResult{{VM: "a", VMStatus: VMStatus{Up: true, Running: 3}, Drained: true}})
	assert.Equal(t, request, `POST /vms/z/looks {"vms":[{"vm":"a","drain":{"until":"2026-01-05T00:00:00Z","fence":7}},{"vm":"b"}]}`)

	body = body[:len(body)/2]
	results, err = c.CheckVMs(t.Context(), "z", requests)
	assert.Assert(t, err != nil && results == nil, "truncated reply")
	for _, status = range []int{http.StatusGone, http.StatusNotFound, http.StatusInternalServerError} {
		results, err = c.CheckVMs(t.Context(), "z", requests)
		assert.Assert(t, err != nil && results == nil, "status %d says nothing about the VMs", status)
	}
}

// The store's own 404 means that there is no such object. Any other refusal is an outage
// that is worth a retry. If both were the same error, one lost audit record would look like a
// platform outage to a monitor or operator.
func TestGetMissingObject(t *testing.T) {
	status := http.StatusNotFound
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer s.Close()
	_, err := NewClient(s.URL).Get(context.Background(), "audit-1.json")
	assert.ErrorIs(t, err, ErrObjectNotFound)
	assert.Assert(t, !errors.Is(err, table.ErrUnreachable))
	status = http.StatusServiceUnavailable
	_, err = NewClient(s.URL).Get(context.Background(), "audit-1.json")
	assert.ErrorIs(t, err, table.ErrUnreachable)
}
