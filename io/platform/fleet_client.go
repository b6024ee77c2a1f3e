package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// PathVMs is the HTTP path of the platform's control of VMs. Below it stand
//
//	GET  {zone}/{vm}         the VMStatus; 404 if there is no such VM
//	POST {zone}/{vm}/drain   with a DrainRequest
//	POST {zone}/{vm}/reboot  with a RebootRequest; 409 once NotAfter has passed
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
}

// RebootRequest reboots a VM. The platform refuses it after NotAfter: a late one
// of a controller that was paused would hit a VM that serves again.
type RebootRequest struct {
	NotAfter time.Time `json:"not_after"`
}

// VMControl is the platform's control of VMs.
type VMControl interface {
	// Drain makes vm refuse new work until the given time.
	Drain(ctx context.Context, zone core.ZoneID, vm core.VMID, until time.Time) error
	// Reboot reboots vm unless notAfter has passed. Nil means that it was taken.
	Reboot(ctx context.Context, zone core.ZoneID, vm core.VMID, notAfter time.Time) error
	// Status returns what vm is doing. A VM that is gone is not up.
	Status(ctx context.Context, zone core.ZoneID, vm core.VMID) (VMStatus, error)
}

var _ VMControl = (*Client)(nil)

// Drain implements VMControl.
func (c *Client) Drain(ctx context.Context, zone core.ZoneID, vm core.VMID, until time.Time) error {
	return c.postVM(ctx, zone, vm, "/drain", DrainRequest{Until: until})
}

// Reboot implements VMControl.
func (c *Client) Reboot(ctx context.Context, zone core.ZoneID, vm core.VMID, notAfter time.Time) error {
	return c.postVM(ctx, zone, vm, "/reboot", RebootRequest{NotAfter: notAfter})
}

// Status implements VMControl.
func (c *Client) Status(ctx context.Context, zone core.ZoneID, vm core.VMID) (VMStatus, error) {
	var s VMStatus
	data, status, err := c.do(ctx, http.MethodGet, c.vmURL(zone, vm), nil)
	if err == nil && status == http.StatusNotFound {
		return s, nil
	}
	if err := c.expectOK(data, status, err); err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(data, &s), "decode VM status")
}

func (c *Client) postVM(ctx context.Context, zone core.ZoneID, vm core.VMID, verb string, request any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode VM request")
	}
	data, status, err := c.do(ctx, http.MethodPost, c.vmURL(zone, vm)+verb, body)
	if err == nil && status == http.StatusConflict {
		return errors.Wrapf(table.ErrConflict, "VM %s/%s: %s", zone, vm, verb)
	}
	return c.expectOK(data, status, err)
}

func (c *Client) vmURL(zone core.ZoneID, vm core.VMID) string {
	return c.BaseURL + PathVMs + url.PathEscape(string(zone)) + "/" + url.PathEscape(string(vm))
}
