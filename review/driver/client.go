package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// callDeadline is how long clients wait for an answer.
const callDeadline = 3 * time.Second

// step is a step in the body of a submission.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	MemMB       int64 `json:"mem_mb"`
	EstimatedMS int64 `json:"estimated_ms"`
	After       []int `json:"after,omitempty"`
	MaxPerVM    int   `json:"max_per_server,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
	MayMiss     *int  `json:"may_miss,omitempty"`
	// Requires is the label that the worker must have.
	Requires string `json:"requirements,omitempty"`
}

// submission is the body of a submission.
type submission struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeat_count,omitempty"`
	StartAtMS   int64  `json:"start_at_ms,omitempty"`
	IntervalMS  int64  `json:"interval_ms,omitempty"`
}

// newSubmission returns a job of one step.
func newSubmission(count int, s taskSpec) submission {
	text, _ := json.Marshal(s) // A struct of integers can be encoded.
	return submission{Spec: string(text), Steps: []step{{Count: count, CPU: s.CPU, MemMB: s.MemMB, EstimatedMS: s.RunMS}}}
}

// newID returns a job ID of 16 hexadecimal digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one call to a daemon and returns the status and the state in the answer. Status 0
// means that there was no answer.
func (w *world) call(d *daemon, method, id, key string, body any) (status int, state string) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	var in io.Reader = http.NoBody
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, ""
		}
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+pathPrefix+id, in)
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Api-Key", key)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.logf("client: %s %s at %s: no answer", method, id, d.name)
		return 0, ""
	}
	defer resp.Body.Close() //nolint:errcheck // The body has been read.
	var out struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&out)
	w.logf("client: %s %s at %s: %d %s", method, id, d.name, resp.StatusCode, out.State)
	return resp.StatusCode, out.State
}

// submit hands a job in, with retries at other daemons, and returns its ID and whether it was
// accepted.
func (w *world) submit(key string, s submission) (id string, accepted bool) {
	id = newID()
	first := rand.IntN(len(w.daemons))
	for attempt := range 8 {
		status, _ := w.call(w.daemons[(first+attempt)%len(w.daemons)], http.MethodPost, id, key, s)
		if status == http.StatusOK {
			return id, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return id, false
}

// state asks for a job's state, at one daemon after the other until there is an answer.
func (w *world) state(key, id string) string {
	first := rand.IntN(len(w.daemons))
	for attempt := range 2 * len(w.daemons) {
		status, state := w.call(w.daemons[(first+attempt)%len(w.daemons)], http.MethodGet, id, key, nil)
		switch status {
		case http.StatusOK:
			return state
		case http.StatusGone:
			return "410"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "no answer"
}
