package fleet

import (
	"slices"
	"strings"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// OutVM records in a pool's row that a VM of the pool is not serving.
type OutVM struct {
	Ref
	// Planned is set for a VM that holds a drain permit. Otherwise the VM failed.
	Planned bool      `json:"planned"`
	Since   time.Time `json:"since"`
}

// Pool is the row that holds a pool's state. Drain permits are granted on it alone, so
// it covers the pool's VMs of all zones.
type Pool struct {
	// MaxUnavailable is the availability budget: how many of the Size VMs may be
	// unavailable at the same time, planned and unplanned together.
	MaxUnavailable int `json:"max_unavailable"`
	// Size is the intended number of VMs in the pool.
	Size int `json:"size"`
	// Members is the number of VMs whose rows name the pool.
	Members int `json:"members"`
	// Spare marks the pool whose VMs replace failed VMs of other pools.
	Spare bool `json:"spare,omitempty"`
	// Out lists the members that are not serving.
	Out []OutVM `json:"out,omitempty"`
}

// Unavailable returns how many serving VMs the pool lacks. It is negative if a repair
// left the pool with more than Size VMs.
func (p Pool) Unavailable() int { return p.Size - p.Members + len(p.Out) }

// Headroom returns how many more VMs may be taken out of service. It is negative if the
// budget is exceeded.
func (p Pool) Headroom() int { return p.MaxUnavailable - p.Unavailable() }

// Failed returns how many members are out of service without a drain permit.
func (p Pool) Failed() int {
	n := 0
	for _, o := range p.Out {
		if !o.Planned {
			n++
		}
	}
	return n
}

// FindOutVM returns the entry of vm in Out.
func (p Pool) FindOutVM(vm Ref) (OutVM, bool) {
	i := slices.IndexFunc(p.Out, func(o OutVM) bool { return o.Ref == vm })
	if i < 0 {
		return OutVM{}, false
	}
	return p.Out[i], true
}

// addOutVM returns p with o in Out, replacing any entry of the same VM.
func (p Pool) addOutVM(o OutVM) Pool {
	p = p.removeOutVM(o.Ref)
	p.Out = append(p.Out, o)
	return p
}

// removeOutVM returns p without an entry of vm in Out.
func (p Pool) removeOutVM(vm Ref) Pool {
	p.Out = slices.DeleteFunc(slices.Clone(p.Out), func(o OutVM) bool { return o.Ref == vm })
	return p
}

// PoolRow is a pool's row as it was read, with the version that transactions check.
type PoolRow struct {
	ID   core.PoolID
	Pool Pool
	Row  table.Row
}

// DecodePool decodes a row stored under table.PoolStateKey.
func DecodePool(row table.Row) (PoolRow, error) {
	id, ok := strings.CutPrefix(string(row.Key), table.PrefixPool)
	if !ok {
		return PoolRow{}, core.Errorf(core.CodeMalformed, "row %q is not a pool's row", row.Key)
	}
	r := PoolRow{ID: core.PoolID(id), Row: row}
	return r, row.Decode(&r.Pool)
}

// Exists reports whether the row existed when it was read.
func (r PoolRow) Exists() bool { return r.Row.Version != 0 }

func (r PoolRow) checkExists() error {
	if r.Exists() {
		return nil
	}
	return core.Errorf(core.CodeNotFound, "no pool %q", r.ID)
}
