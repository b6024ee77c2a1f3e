package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"lavenderpond/core"
)

// RebootTime is how long a VM is down when the platform reboots it.
const RebootTime = 2 * time.Second

// Control is the control interface of a VM. The simulated platform and tests use it
// to read the VM's state, to reboot and drain the VM, and to set faults.
type Control struct {
	VM *VM

	mu sync.Mutex
	// upAt is when the VM comes up after a reboot; zero if it isn't rebooting.
	upAt time.Time
	// stuck keeps the VM down after a reboot.
	stuck   bool
	reboots int
	// fence is the highest fence of any order so far.
	fence core.Version
}

// acceptFence reports whether an order with this fence is at least as new as every order
// before it, and if so remembers the fence.
func (c *Control) acceptFence(fence core.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence < c.fence {
		return false
	}
	c.fence = fence
	return true
}

// State is the state that a VM reports to the platform.
type State struct {
	Up      bool       `json:"up"`
	Running core.Slots `json:"running"`
}

// Handler returns the control interface under /control/.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/state", c.state)
	mux.HandleFunc("POST /control/reboot", c.reboot)
	mux.HandleFunc("POST /control/drain", c.drain)
	mux.HandleFunc("POST /control/faults", c.faults)
	return mux
}

func (c *Control) state(w http.ResponseWriter, _ *http.Request) {
	c.finishReboot()
	c.VM.mu.Lock()
	up := !c.VM.down
	c.VM.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(State{Up: up, Running: c.VM.Running()})
}

// reboot takes the VM down for RebootTime and stops its running tasks. Callers must drain
// the VM first.
func (c *Control) reboot(w http.ResponseWriter, r *http.Request) {
	var order struct {
		NotAfter time.Time    `json:"not_after"`
		Fence    core.Version `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.VM.now().After(order.NotAfter) || !c.acceptFence(order.Fence) {
		http.Error(w, "the order has expired or its fence is stale", http.StatusConflict)
		return
	}
	c.mu.Lock()
	c.upAt = c.VM.now().Add(RebootTime)
	c.reboots++
	c.mu.Unlock()
	c.VM.setDown(true)
}

// drain makes the VM refuse new tasks until the given time.
func (c *Control) drain(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Until time.Time    `json:"until"`
		Fence core.Version `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !c.acceptFence(order.Fence) {
		http.Error(w, "the fence of the order is stale", http.StatusConflict)
		return
	}
	c.VM.mu.Lock()
	defer c.VM.mu.Unlock()
	c.VM.drainUntil = order.Until
}

// faults sets the VM's faults. "stuck" keeps the VM down after a reboot.
func (c *Control) faults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Faults
		Stuck bool `json:"stuck"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.VM.SetFaults(f.Faults)
	c.mu.Lock()
	c.stuck = f.Stuck
	c.mu.Unlock()
}

// finishReboot brings the VM up again if the time of its reboot is over.
func (c *Control) finishReboot() {
	c.mu.Lock()
	over := !c.stuck && !c.upAt.IsZero() && !c.VM.now().Before(c.upAt)
	if over {
		c.upAt = time.Time{}
	}
	c.mu.Unlock()
	if over {
		c.VM.setDown(false)
	}
}

// Crash takes the VM down immediately. Its running tasks stop, and it forgets the answers of
// tasks that ended.
func (v *VM) Crash() {
	v.setDown(true)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outcomes, v.endedOrder = make(map[string]outcome), nil
}

// Restart brings the VM up again.
func (v *VM) Restart() { v.setDown(false) }

// setDown takes the VM down, which stops its running tasks, or brings it up.
func (v *VM) setDown(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
	if !down {
		return
	}
	for t := range v.running {
		select {
		case t.stop <- struct{}{}:
		default:
		}
	}
}
