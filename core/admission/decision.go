package admission

import "time"

// Decision is Admit or Refuse.
type Decision interface{ decision() }

// Admit takes the job in.
type Admit struct{ Reason AdmitReason }

// Refuse turns the job away.
type Refuse struct {
	Reason RefuseReason
	// Start is when the job would start, since the work before it is done, Complete when it would be complete, and LateLimit
	// when its result is of no use any more.
	Start, Complete, LateLimit time.Time
	// Work is the job's own work, Before that of the work that goes first, and Unseen the
	// part of it that the forecast doesn't contain yet.
	Work, Before, Unseen CoreSeconds
	// ServiceRate is the work per second that this entry VM may send back to the pool.
	ServiceRate CoreSeconds
	// Sequence and Age are those of the forecast.
	Sequence Sequence
	Age      time.Duration
}

func (Admit) decision()  {}
func (Refuse) decision() {}

// AdmitReason says why a job was taken in.
type AdmitReason int

// The reasons to take a job in.
const (
	// AlwaysAdmitted jobs run for long or at times that their callers set.
	AlwaysAdmitted AdmitReason = iota
	// NoForecast means that this entry VM has no forecast of the present owner whose age
	// it knows.
	NoForecast
	// StaleForecast means that the forecast is too old.
	StaleForecast
	// RoomFree means that nothing waits for room in the pool.
	RoomFree
	// InTime means that the job can complete by its late limit.
	InTime
)

// String returns the reason in snake case.
func (r AdmitReason) String() string {
	return [...]string{"always", "no_forecast", "stale_forecast", "room_free", "in_time"}[r]
}

// RefuseReason says why a job was refused.
type RefuseReason int

// The reasons to refuse a job.
const (
	// TooMuchBefore means that the work before the job keeps it from completing by its late
	// limit.
	TooMuchBefore RefuseReason = iota
	// BeyondShare means the same for a job of an account beyond its share, which comes after
	// the jobs of all other accounts.
	BeyondShare
)

// String returns the reason in snake case.
func (r RefuseReason) String() string { return [...]string{"too_much_before", "beyond_share"}[r] }
