package retry

// Progress describes how far a dispatch got before it failed.
type Progress int

// Values of Progress. The zero value is the one that permits the fewest retries.
const (
	// Sent means that bytes were sent to the target, which may have started the
	// request.
	Sent Progress = iota
	// Refused means that the target reported that it didn't start the request.
	Refused
	// NotSent means that nothing was sent.
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
// far as p. A non-idempotent request that may have started is never sent again, because
// it could run twice.
func SafeToRetry(p Progress, idempotent bool) bool {
	switch p {
	case NotSent, Refused:
		return true
	default:
		return idempotent
	}
}
