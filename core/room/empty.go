package room

import (
	"slices"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule/sizing"
)

// Emptying lists the VMs that should get no more tasks, by what their machines are needed for.
type Emptying struct {
	ForUrgent, ForTotal []job.VMID
}

// Empty returns the VMs that should get no more tasks, so that their machines become idle and can
// move to pools that are short. Only an idle machine can move, and after a burst the tasks of a
// pool are scattered over its VMs. Empty picks the VMs with the least work, no more than the
// other pools are short of, and leaves each pool what its own work of the same urgency needs.
// fleet is the CPU of all pools and of the machines that are off.
func Empty(pools []Pool, vms []sizing.VM, fleet int64) Emptying {
	leveled := level(pools, fleet)
	e := Emptying{ForUrgent: sizing.LeastLoaded(balances(leveled, urgent), vms)}
	for _, id := range sizing.LeastLoaded(balances(leveled, total), vms) {
		if !slices.Contains(e.ForUrgent, id) {
			e.ForTotal = append(e.ForTotal, id)
		}
	}
	return e
}

// balances returns what the pools lack and can spare if they should have what is needed.
func balances(pools []Pool, needed amount) []sizing.Balance {
	var out []sizing.Balance
	for i := range pools {
		if p := &pools[i]; !p.Standby {
			out = append(out, sizing.Balance{Pool: p.Name, Short: needed(p) - p.Have, Spare: p.Have - needed(p)})
		}
	}
	return out
}
