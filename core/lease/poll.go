package lease

import "time"

// maxPollReadShare is the share of the table's read throughput that polling the owner's rows
// may use. When the throughput is exceeded, the table refuses calls of every client, including
// the owner's renewals.
const maxPollReadShare = 0.2

// PollInterval returns the interval at which an entry VM polls the owner's rows. It is at least
// minInterval, and longer if that many entry VMs would otherwise use more than maxPollReadShare
// of a table that serves readsPerSecond. Either number is 0 if it isn't known.
func PollInterval(minInterval time.Duration, entries int, readsPerSecond float64) time.Duration {
	if readsPerSecond <= 0 {
		return minInterval
	}
	seconds := float64(entries) / (maxPollReadShare * readsPerSecond)
	return max(minInterval, time.Duration(seconds*float64(time.Second)))
}
