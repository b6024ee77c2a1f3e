package lease

import "time"

// lookShare is the part of the table's reads that the looks at the owner's rows may take.
// Beyond its reads the table refuses calls of everybody, the owner's renewals among them.
const lookShare = 0.2

// LookEvery returns how often an entry VM looks at the owner's rows: every least, or less
// often where entries do so at a table that serves so many reads a second. Either number
// is 0 if it isn't known.
func LookEvery(least time.Duration, entries int, readsPerSecond float64) time.Duration {
	if readsPerSecond <= 0 {
		return least
	}
	seconds := float64(entries) / (lookShare * readsPerSecond)
	return max(least, time.Duration(seconds*float64(time.Second)))
}
