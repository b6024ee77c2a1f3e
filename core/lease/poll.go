package lease

import "time"

// maxPollReadShare is the part of the table's reads that the looks at the owner's rows may take.
// Beyond its reads the table refuses calls of everybody, the owner's renewals among them.
const maxPollReadShare = 0.2

// PollInterval returns how often an entry VM looks at the owner's rows: every least, or less
// often where entries do so at a table that serves so many reads a second. Either number
// is 0 if it isn't known.
func PollInterval(minInterval time.Duration, entries int, readsPerSecond float64) time.Duration {
	if readsPerSecond <= 0 {
		return minInterval
	}
	seconds := float64(entries) / (maxPollReadShare * readsPerSecond)
	return max(minInterval, time.Duration(seconds*float64(time.Second)))
}
