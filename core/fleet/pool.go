package fleet

import (
	"slices"
	"strings"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// OutVM is a VM of a pool that is not serving, in the pool's row.
type OutVM struct {
	Ref
	// Planned VMs hold a drain permit; the others failed.
	Planned bool      `json:"planned"`
	Since   time.Time `json:"since"`
}

// Pool is a pool's row of state. It alone decides about drain permits, so it
// stands for the pool's VMs of all zones.
type Pool struct {
	// MaxUnavailable is the availability budget: how many of Size VMs may be
	// missing at once, planned and unplanned together.
	MaxUnavailable int `json:"max_unavailable"`
	// Size is how many VMs the pool is meant to have.
	Size int `json:"size"`
	// Members is how many VMs name the pool in their rows.
	Members int `json:"members"`
	// Spare marks the pool whose VMs repair others.
	Spare bool `json:"spare,omitempty"`
	// Out lists the members that are not serving.
	Out []OutVM `json:"out,omitempty"`
}

// Unavailable returns how many serving VMs the pool lacks. It is negative when
// a repair left it with more than Size.
func (p Pool) Unavailable() int { return p.Size - p.Members + len(p.Out) }

// Headroom returns how many more VMs may be taken out now.
func (p Pool) Headroom() int { return p.MaxUnavailable - p.Unavailable() }

// Failed returns how many members are out unplanned.
func (p Pool) Failed() int {
	n := 0
	for _, o := range p.Out {
		if !o.Planned {
			n++
		}
	}
	return n
}

// FindOut returns the entry of vm in Out.
func (p Pool) FindOut(vm Ref) (OutVM, bool) {
	i := slices.IndexFunc(p.Out, func(o OutVM) bool { return o.Ref == vm })
	if i < 0 {
		return OutVM{}, false
	}
	return p.Out[i], true
}

// addOut returns p with o in place of what Out says of the same VM.
func (p Pool) addOut(o OutVM) Pool {
	p = p.removeOut(o.Ref)
	p.Out = append(p.Out, o)
	return p
}

// removeOut returns p with vm serving or gone.
func (p Pool) removeOut(vm Ref) Pool {
	p.Out = slices.DeleteFunc(slices.Clone(p.Out), func(o OutVM) bool { return o.Ref == vm })
	return p
}

// PoolRow is a pool as read, with the version that transactions check.
type PoolRow struct {
	ID   core.PoolID
	Pool Pool
	Row  table.Row
}

// DecodePool reads a row of table.PoolStateKey.
func DecodePool(row table.Row) (PoolRow, error) {
	id, ok := strings.CutPrefix(string(row.Key), table.PrefixPool)
	if !ok {
		return PoolRow{}, core.Errorf(core.CodeMalformed, "row %q is no pool's row", row.Key)
	}
	r := PoolRow{ID: core.PoolID(id), Row: row}
	return r, row.Decode(&r.Pool)
}

// Exists reports whether the row was there when it was read.
func (r PoolRow) Exists() bool { return r.Row.Version != 0 }

func (r PoolRow) checkExists() error {
	if r.Exists() {
		return nil
	}
	return core.Errorf(core.CodeNotFound, "no pool %q", r.ID)
}
