// Package intake bounds the calls that an entry VM has in progress by what the VM has: processor
// time, memory and bandwidth. A call beyond a limit is refused before its body is read. The
// package uses no clock, network or goroutines.
package intake

// Resource is something of an entry VM that its calls in progress use up.
type Resource int

// The resources.
const (
	// Calls are the calls in progress, which wait for the processor in turn.
	Calls Resource = iota
	// Memory is in bytes.
	Memory
	// Transfer is the bytes that the VM's network link has to carry.
	Transfer
	numResources
)

// String returns the resource in snake case.
func (r Resource) String() string {
	if r < 0 || r >= numResources {
		return "unknown"
	}
	return [...]string{"calls", "memory", "transfer"}[r]
}

// Resources returns all resources.
func Resources() []Resource { return []Resource{Calls, Memory, Transfer} }

// Amount is an amount of each resource, indexed by Resource.
type Amount [numResources]int64

const (
	// callMemory is what a call takes without its body: stacks and buffers of its connection
	// and of the call to the table that it waits for.
	callMemory = 32 << 10
	// memoryPerBodyByte is what decoding a job and encoding its row allocate per byte of the
	// body, compression of large rows included.
	memoryPerBodyByte = 32
	// callTransfer is what a call and the table's answers move without the body.
	callTransfer = 2 << 10
	// transfersPerBodyByte covers the body on its way in and the job's row, which is longer
	// and in base64, on its way to the table.
	transfersPerBodyByte = 3
	// maxBodyBytes bounds the length that a caller may state, so that no sum of costs overflows.
	// It exceeds the memory of any entry VM.
	maxBodyBytes = 1 << 40
)

// CallCost returns what a call with a body of the given length uses.
func CallCost(bodyBytes int64) Amount {
	bodyBytes = min(bodyBytes, maxBodyBytes)
	return Amount{
		Calls:    1,
		Memory:   callMemory + memoryPerBodyByte*bodyBytes,
		Transfer: callTransfer + transfersPerBodyByte*bodyBytes,
	}
}

func (a Amount) add(o Amount) Amount {
	for r := range a {
		a[r] += o[r]
	}
	return a
}

func (a Amount) sub(o Amount) Amount {
	for r := range a {
		a[r] -= o[r]
	}
	return a
}
