// Package target implements the protocol with target VMs. Its client starts tasks under a
// lease, accepts only complete answers, queries tasks whose answer was lost, and stops tasks.
//
// The protocol runs over HTTP. POST /tasks/TEAM/ID starts a task and returns its answer,
// GET queries the task, and DELETE stops it. Times in headers are Unix milliseconds.
package target

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lavenderpond/core"
)

// Headers of requests and answers.
const (
	// HeaderTask is "team/id" and HeaderAttempt the number of the dispatch. Answers
	// repeat both, so that the client detects an answer of another task or dispatch.
	HeaderTask    = "Task"
	HeaderAttempt = "Attempt"
	// HeaderStartBy is the time before which the task must start.
	HeaderStartBy = "Start-By"
	// HeaderLeaseUntil is the end of the lease, at which the target stops the task.
	HeaderLeaseUntil = "Lease-Until"
	// HeaderLength is the length of an answer's body in bytes, as the program that ran
	// the task states it.
	HeaderLength = "Answer-Length"
	// HeaderNotStarted is the reason if the target refused the task, which then did not
	// start.
	HeaderNotStarted = "Not-Started"
	// HeaderState is the state of the task.
	HeaderState = "Task-State"
)

// Values of HeaderNotStarted.
const (
	ReasonFull    = "full"
	ReasonLeaving = "leaving"
	ReasonLate    = "late"
	ReasonInvalid = "invalid"
)

// Values of HeaderState.
const (
	StateNone    = "none"
	StateRunning = "running"
	StateDone    = "done"
	StateStopped = "stopped"
)

// TaskPath returns the URL path of a task.
func TaskPath(key core.RequestKey) string {
	return "/tasks/" + url.PathEscape(string(key.Team)) + "/" + url.PathEscape(string(key.ID))
}

func setMillis(h http.Header, name string, t time.Time) {
	h.Set(name, strconv.FormatInt(t.UnixMilli(), 10))
}

// Millis returns the time in a header of Unix milliseconds.
func Millis(h http.Header, name string) (time.Time, error) {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return time.Time{}, err
	}
	return time.UnixMilli(ms), nil
}
