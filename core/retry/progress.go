package retry

// Progress says how far a dispatch got before it failed.
type Progress int

// The degrees of progress. The zero value is the one that allows least.
const (
	// Sent: bytes left for the target and it may have started the request.
	Sent Progress = iota
	// Refused: the target said that it did not start the request.
	Refused
	// NotSent: nothing left this process.
	NotSent
)

var progressNames = [...]string{"sent", "refused", "not_sent"}

// String returns the name of p.
func (p Progress) String() string {
	if p < 0 || int(p) >= len(progressNames) {
		return "unknown"
	}
	return progressNames[p]
}

// SafeToRetry reports whether a request may be sent again after a dispatch that got as
// far as p. A non-idempotent request that may have started is never sent again:
// it would run twice.
func SafeToRetry(p Progress, idempotent bool) bool {
	switch p {
	case NotSent, Refused:
		return true
	default:
		return idempotent
	}
}
