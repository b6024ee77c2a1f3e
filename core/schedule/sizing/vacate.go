package sizing

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

// Vacate returns the VMs that should get no more tasks while others of their pool have room.
// Only an idle machine can move. After a burst, the tasks of a pool are scattered over twenty
// or more half-empty VMs and continue with their next steps there, while the queue that bursts
// next would wait for seconds. Vacate picks no more VMs than the other pools are short of, and
// none that its pool needs for the tasks it runs.
func Vacate(pools []Pool, vms []VM) []job.VMID {
	var balances []Balance
	for _, p := range pools {
		if !p.Standby {
			balances = append(balances, Balance{Pool: p.Name, Short: p.Need - p.Have, Spare: p.Have - max(p.Need, p.Used)})
		}
	}
	return LeastLoaded(balances, vms)
}

// Balance is what a pool lacks and what it can spare, in thousandths of a core. Negative amounts
// count as none.
type Balance struct {
	Pool         job.PoolName
	Short, Spare int64
}

// LeastLoaded returns the VMs with the least load that their pools can spare, up to what all pools
// together lack.
func LeastLoaded(balances []Balance, vms []VM) []job.VMID {
	shortfall := int64(0)
	for _, b := range balances {
		shortfall += max(0, b.Short)
	}
	byLoad := slices.SortedFunc(slices.Values(vms), func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.Used, b.Used), cmp.Compare(a.ID, b.ID))
	})
	var out []job.VMID
	for _, b := range balances {
		spare := b.Spare
		for _, v := range byLoad {
			if v.Pool != b.Pool || spare < v.CPU || shortfall < v.CPU/2 {
				continue
			}
			out = append(out, v.ID)
			spare -= v.CPU
			shortfall -= v.CPU
		}
	}
	return out
}
