package intake

// VM describes the capacity of an entry VM. A zero field is unknown.
type VM struct {
	Cores float64
	// Memory is in bytes.
	Memory int64
	// LinkRate is in bytes per second.
	LinkRate float64
}

const (
	// callProcessorSeconds is the processor time of one submission.
	callProcessorSeconds = 0.0006
	// maxProcessorWait is how long, in seconds, all calls in progress together may keep the
	// processor busy. Callers expect an answer within about this time.
	maxProcessorWait = 0.5
	// memoryPart is the part of the memory that calls in progress may use. An owner's own
	// state takes up to half of it.
	memoryPart = 0.25
	// maxLinkWait is how long, in seconds, all calls in progress together may keep the link
	// busy.
	maxLinkWait = 0.5
)

// LimitsFor returns the limits that an entry VM's capacity calls for. A resource whose capacity
// is unknown has no limit.
func LimitsFor(vm VM) Amount {
	return Amount{
		Calls:    atLeastOne(vm.Cores * maxProcessorWait / callProcessorSeconds),
		Memory:   atLeastOne(float64(vm.Memory) * memoryPart),
		Transfer: atLeastOne(vm.LinkRate * maxLinkWait),
	}
}

// atLeastOne rounds a limit down, but not to 0, which would mean no limit.
func atLeastOne(limit float64) int64 {
	if limit <= 0 {
		return 0
	}
	return max(1, int64(limit))
}
