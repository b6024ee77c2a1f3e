package node

import (
	"sync"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/platform"
)

// vmIdleTimeout is how long a VM's client and its connections are kept without an order.
const vmIdleTimeout = 15 * time.Second

// vmClients holds the clients of the VMs that this process has called recently. The zero value is
// ready to use.
type vmClients struct {
	// max is the number of clients from which the one that wasn't used for longest is forgotten for a new one; 0
	// means no limit.
	max int

	mu   sync.Mutex
	byID map[job.VMID]*vmClient
}

// vmClient is a client for a VM at an address. It is replaced when the address changes.
type vmClient struct {
	address  string
	vm       *platform.VM
	lastUsed time.Time
}

// get returns the client for a VM at an address.
func (c *vmClients) get(id job.VMID, address string) *platform.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.byID[id]
	if v == nil || v.address != address {
		if v != nil {
			v.vm.Close()
		}
		if c.byID == nil {
			c.byID = map[job.VMID]*vmClient{}
		}
		if v == nil && c.max > 0 && len(c.byID) >= c.max {
			c.forgetOldest()
		}
		v = &vmClient{address: address, vm: platform.NewVM(id, address)}
		c.byID[id] = v
	}
	v.lastUsed = bootNow()
	return v.vm
}

// forgetOldest forgets the client that wasn't used for longest. Its calls in progress go on. The caller holds mu.
func (c *vmClients) forgetOldest() {
	var oldest job.VMID
	for id, v := range c.byID {
		if o := c.byID[oldest]; o == nil || v.lastUsed.Before(o.lastUsed) {
			oldest = id
		}
	}
	c.byID[oldest].vm.Close()
	delete(c.byID, oldest)
}

// closeIdle forgets the clients that haven't been used recently, and closes their connections.
func (c *vmClients) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, v := range c.byID {
		if now.Sub(v.lastUsed) > vmIdleTimeout {
			v.vm.Close()
			delete(c.byID, id)
		}
	}
}

// close forgets all clients and closes their connections.
func (c *vmClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.byID {
		v.vm.Close()
	}
	c.byID = nil
}

// count returns the number of clients.
func (c *vmClients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID)
}
