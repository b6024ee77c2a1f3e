package room

import (
	"cmp"
	"slices"

	"lavenderpond/core/job"
)

// VM is a VM that runs no long-running task, with the CPU that its tasks use.
type VM struct {
	ID   job.VMID
	Pool job.PoolName
	CPU  int64
	Used int64
}

// Emptying lists the VMs that should get no more tasks, by what their machines are needed for.
type Emptying struct {
	ForUrgent, ForTotal []job.VMID
}

// Empty returns the VMs that should get no more tasks, so that their machines become idle and can
// move to pools that are short. Only an idle machine can move, and after a burst the tasks of a
// pool are scattered over its VMs. Empty picks the VMs with the least work, no more than the
// other pools are short of, and leaves each pool what its own work of the same urgency needs.
// fleet is the CPU of all pools and of the machines that are off.
func Empty(pools []Pool, vms []VM, fleet int64) Emptying {
	leveled := level(pools, fleet)
	byLoad := slices.SortedFunc(slices.Values(vms), func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.Used, b.Used), cmp.Compare(a.ID, b.ID))
	})
	chosen := map[job.VMID]bool{}
	return Emptying{
		ForUrgent: choose(leveled, byLoad, chosen, func(p *Pool) int64 { return p.Urgent }),
		ForTotal:  choose(leveled, byLoad, chosen, func(p *Pool) int64 { return p.Total }),
	}
}

// choose picks VMs for the pools that have less than needed, from pools that have more, and adds
// them to chosen.
func choose(pools []Pool, byLoad []VM, chosen map[job.VMID]bool, needed func(p *Pool) int64) []job.VMID {
	shortfall := int64(0)
	for i := range pools {
		if p := &pools[i]; !p.Standby {
			shortfall += max(0, needed(p)-p.Have)
		}
	}
	var out []job.VMID
	for i := range pools {
		p := &pools[i]
		if p.Standby {
			continue
		}
		spare := p.Have - needed(p)
		for _, v := range byLoad {
			if v.Pool != p.Name || spare < v.CPU || shortfall < v.CPU/2 {
				continue
			}
			spare -= v.CPU
			shortfall -= v.CPU
			if !chosen[v.ID] {
				chosen[v.ID] = true
				out = append(out, v.ID)
			}
		}
	}
	return out
}
