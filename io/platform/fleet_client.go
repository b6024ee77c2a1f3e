package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// PathVMs is the HTTP path of the platform's control of VMs. Below it stand
//
//	GET  {zone}/{vm}         the VMStatus; 410 if there is no such VM any more
//	POST {zone}/{vm}/drain   with a DrainRequest; 409 if its fence is too low
//	POST {zone}/{vm}/reboot  with a RebootRequest; 409 also once NotAfter has passed
const PathVMs = "/vms/"

// VMStatus is what the platform says of a VM now.
type VMStatus struct {
	Up bool `json:"up"`
	// Running is how many tasks run on the VM.
	Running int `json:"running"`
}

// DrainRequest makes a VM refuse new work, with "leaving", until Until. What
// runs there goes on. It outlives a reboot; a time that has passed ends it.
type DrainRequest struct {
	Until time.Time `json:"until"`
	// Fence is the version of the VM's row that the request follows from. The
	// platform keeps the highest and answers 409 to a lower one: a late request of
	// a controller that was paused would take a VM out that serves again.
	Fence core.Version `json:"fence"`
}

// RebootRequest reboots a VM. The platform refuses it after NotAfter, and with a
// Fence that is too low.
type RebootRequest struct {
	NotAfter time.Time    `json:"not_after"`
	Fence    core.Version `json:"fence"`
}

// VMControl is the platform's control of VMs.
type VMControl interface {
	// Drain makes vm refuse new work until the given time.
	Drain(ctx context.Context, vm fleet.Ref, r DrainRequest) error
	// Reboot reboots vm unless it is too late. Nil means that it was taken.
	Reboot(ctx context.Context, vm fleet.Ref, r RebootRequest) error
	// Status returns what vm is doing. A VM that is gone is not up; of one that the
	// platform doesn't know nothing is known, and that is an error.
	Status(ctx context.Context, vm fleet.Ref) (VMStatus, error)
}

var _ VMControl = (*Client)(nil)

// Drain implements VMControl.
func (c *Client) Drain(ctx context.Context, vm fleet.Ref, r DrainRequest) error {
	return c.postVM(ctx, vm, "/drain", r)
}

// Reboot implements VMControl.
func (c *Client) Reboot(ctx context.Context, vm fleet.Ref, r RebootRequest) error {
	return c.postVM(ctx, vm, "/reboot", r)
}

// Status implements VMControl.
func (c *Client) Status(ctx context.Context, vm fleet.Ref) (VMStatus, error) {
	var s VMStatus
	data, status, err := c.do(ctx, http.MethodGet, c.vmURL(vm), nil)
	if err == nil && status == http.StatusGone {
		return s, nil
	}
	if err := c.expectOK(data, status, err); err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(data, &s), "decode VM status")
}

func (c *Client) postVM(ctx context.Context, vm fleet.Ref, verb string, request any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode VM request")
	}
	data, status, err := c.do(ctx, http.MethodPost, c.vmURL(vm)+verb, body)
	if err == nil && status == http.StatusConflict {
		return errors.Wrapf(table.ErrConflict, "VM %s: %s", vm, verb)
	}
	return c.expectOK(data, status, err)
}

func (c *Client) vmURL(vm fleet.Ref) string {
	return c.BaseURL + PathVMs + url.PathEscape(string(vm.Zone)) + "/" + url.PathEscape(string(vm.VM))
}
