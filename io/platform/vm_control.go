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

// PathVMs is the HTTP path of the platform's VM control. The requests below it are
//
//	GET  {zone}/{vm}         returns the VMStatus; 410 if the VM no longer exists
//	POST {zone}/looks        takes a BulkCheckRequest and returns a BulkCheckReply
//	POST {zone}/{vm}/drain   takes a DrainRequest; 409 if its fence is too low
//	POST {zone}/{vm}/reboot  takes a RebootRequest; 409 also once NotAfter has passed
const PathVMs = "/vms/"

// VMStatus is the current status of a VM according to the platform.
type VMStatus struct {
	Up bool `json:"up"`
	// Running is how many tasks run on the VM.
	Running int `json:"running"`
}

// DrainRequest makes a VM refuse new work, with the answer "leaving", until Until. Tasks
// that run there continue. The order survives a reboot; a time that has passed ends it.
type DrainRequest struct {
	Until time.Time `json:"until"`
	// Fence is the version of the VM's row on which the request is based. The platform
	// keeps the highest one and answers 409 to a lower one. Otherwise, a late request by a
	// controller that was paused would stop work on a VM that has returned to service.
	Fence core.Version `json:"fence"`
}

// RebootRequest reboots a VM. The platform refuses it after NotAfter, or if its Fence is
// too low.
type RebootRequest struct {
	NotAfter time.Time    `json:"not_after"`
	Fence    core.Version `json:"fence"`
}

// CheckRequest asks for the status of VM after the VM got the Drain order, if there is
// one. In this order, nothing can start on a VM that refuses work after its tasks were
// counted.
type CheckRequest struct {
	VM    core.VMID     `json:"vm"`
	Drain *DrainRequest `json:"drain,omitempty"`
}

// CheckResult is the answer to a CheckRequest.
type CheckResult struct {
	VM core.VMID `json:"vm"`
	VMStatus
	// Drained is true if the VM accepted the Drain order.
	Drained bool `json:"drained,omitempty"`
}

// BulkCheckRequest is the body of a request for the status of many VMs.
type BulkCheckRequest struct {
	VMs []CheckRequest `json:"vms"`
}

// BulkCheckReply is the reply to a BulkCheckRequest. Nothing is known about a VM that it
// omits.
type BulkCheckReply struct {
	VMs []CheckResult `json:"vms"`
}

// VMControl is the platform's control of VMs.
type VMControl interface {
	// Drain makes vm refuse new work until the given time.
	Drain(ctx context.Context, vm fleet.Ref, r DrainRequest) error
	// Reboot reboots vm unless it is too late. Nil means that the request was accepted.
	Reboot(ctx context.Context, vm fleet.Ref, r RebootRequest) error
	// Status returns the current status of vm. A VM that is gone is not up. A VM that the
	// platform doesn't know is an error, because nothing is known about it.
	Status(ctx context.Context, vm fleet.Ref) (VMStatus, error)
	// CheckVMs does for many VMs of zone in one call what Drain and Status do for one.
	// Nothing is known about VMs that the result omits, nor about any VM after an error. A
	// Drain order may have taken effect even so.
	CheckVMs(ctx context.Context, zone core.ZoneID, requests []CheckRequest) ([]CheckResult, error)
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

// CheckVMs implements VMControl.
func (c *Client) CheckVMs(ctx context.Context, zone core.ZoneID, requests []CheckRequest) ([]CheckResult, error) {
	body, err := json.Marshal(BulkCheckRequest{VMs: requests})
	if err != nil {
		return nil, errors.Wrap(err, "encode status check")
	}
	data, status, err := c.do(ctx, http.MethodPost, c.BaseURL+PathVMs+url.PathEscape(string(zone))+"/looks", body)
	if err := c.expectOK(data, status, err); err != nil {
		return nil, err
	}
	var reply BulkCheckReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, errors.Wrap(err, "decode status check")
	}
	return reply.VMs, nil
}

func (c *Client) postVM(ctx context.Context, vm fleet.Ref, path string, request any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode VM request")
	}
	data, status, err := c.do(ctx, http.MethodPost, c.vmURL(vm)+path, body)
	if err == nil && status == http.StatusConflict {
		return errors.Wrapf(table.ErrConflict, "VM %s: %s", vm, path)
	}
	return c.expectOK(data, status, err)
}

func (c *Client) vmURL(vm fleet.Ref) string {
	return c.BaseURL + PathVMs + url.PathEscape(string(vm.Zone)) + "/" + url.PathEscape(string(vm.VM))
}
