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
//	POST {zone}/looks        with Looks: the VMLooks of many VMs
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

// CheckRequest asks for the state of VM, after it got the order of Drain, if there
// is one: in this order nothing can start on a VM that refuses work after its tasks
// were counted.
type CheckRequest struct {
	VM    core.VMID     `json:"vm"`
	Drain *DrainRequest `json:"drain,omitempty"`
}

// CheckResult answers a LookRequest.
type CheckResult struct {
	VM core.VMID `json:"vm"`
	VMStatus
	// Drained says that the VM took the order of Drain.
	Drained bool `json:"drained,omitempty"`
}

// BulkCheckRequest is the body of a request for the state of many VMs.
type BulkCheckRequest struct {
	VMs []CheckRequest `json:"vms"`
}

// BulkCheckReply is the reply to Looks. Nothing is known of a VM that isn't in it.
type BulkCheckReply struct {
	VMs []CheckResult `json:"vms"`
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
	// CheckVMs does for many VMs of zone in one call what Drain and Status do for one. Of
	// VMs that its answer leaves out nothing is known, and after an error of none; an
	// order may have taken effect all the same.
	CheckVMs(ctx context.Context, zone core.ZoneID, asks []CheckRequest) ([]CheckResult, error)
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
		return nil, errors.Wrap(err, "encode looks")
	}
	data, status, err := c.do(ctx, http.MethodPost, c.BaseURL+PathVMs+url.PathEscape(string(zone))+"/looks", body)
	if err := c.expectOK(data, status, err); err != nil {
		return nil, err
	}
	var reply BulkCheckReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, errors.Wrap(err, "decode looks")
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
