package node

import (
	"runtime/metrics"
	"time"
)

const (
	// memoryInterval is how often the memory of this process is read.
	memoryInterval = time.Second
	bytesPerMB     = 1 << 20
)

// memoryMeter measures the memory that this process needs: its live heap with the least room for
// garbage, and the stacks of its goroutines. The zero value is ready to use, by one goroutine.
type memoryMeter struct {
	mb       int64
	nextRead time.Time
}

// megabytes returns the memory needed, as of at most memoryInterval ago.
func (m *memoryMeter) megabytes(now time.Time) int64 {
	if now.Before(m.nextRead) {
		return m.mb
	}
	m.nextRead = now.Add(memoryInterval)
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	heap := samples[0].Value.Uint64() * (100 + MinGCPercent) / 100
	m.mb = int64((heap + samples[1].Value.Uint64()) / bytesPerMB)
	return m.mb
}
