// Package target speaks to the target VMs: it starts tasks under a lease, takes
// their whole answers, asks about tasks whose answer was lost, and stops tasks.
//
// The protocol is HTTP: POST /tasks/TEAM/ID starts a task and returns its answer,
// GET asks about it, DELETE stops it. Times in headers are Unix milliseconds.
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
	// HeaderTask is "team/id" and HeaderAttempt the dispatch's number; answers
	// repeat both, so that a crossed answer is found out.
	HeaderTask    = "Task"
	HeaderAttempt = "Attempt"
	// HeaderStartBy is the last moment at which the task may start.
	HeaderStartBy = "Start-By"
	// HeaderLeaseUntil is when the target stops the task.
	HeaderLeaseUntil = "Lease-Until"
	// HeaderLength is the length of an answer's body, set by the task's runner.
	HeaderLength = "Answer-Length"
	// HeaderNotStarted gives the reason of a refusal: the task did not start.
	HeaderNotStarted = "Not-Started"
	// HeaderState is running, done, stopped or none, in answers to GET.
	HeaderState = "Task-State"
)

// Reasons in HeaderNotStarted.
const (
	ReasonFull    = "full"
	ReasonLeaving = "leaving"
	ReasonLate    = "late"
	ReasonInvalid = "invalid"
)

// States in HeaderState.
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

// Millis reads a header of Unix milliseconds.
func Millis(h http.Header, name string) (time.Time, error) {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return time.Time{}, err
	}
	return time.UnixMilli(ms), nil
}
