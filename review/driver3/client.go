package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const host = "jobs.example"

// call makes one call of a client to a daemon.
func (d *daemon) call(method, queue, rest, key string, body []byte) (int, string) {
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	u := url.URL{Scheme: "http", Host: d.front.String(), Path: "/" + queue + "/" + rest}
	r, err := http.NewRequest(method, u.String(), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Api-Key", key)
	r.Header.Set("Deadline-Ms", "3000")
	if method == http.MethodPost {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// submit hands a job in, again and again until it is accepted or until has passed.
func (w *world) submit(j *jobRecord, key string, until time.Time) bool {
	spec, _ := json.Marshal(j.spec)
	body := map[string]any{"spec": string(spec), "steps": j.steps}
	if j.times > 0 {
		body["repeat_count"], body["start_at_ms"], body["interval_ms"] = j.times, j.due.UnixMilli(), j.interval.Milliseconds()
	}
	b, _ := json.Marshal(body)
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	for time.Now().Before(until) {
		d := w.daemons[rand.IntN(len(w.daemons))]
		status, text := d.call(http.MethodPost, j.queue, j.id, key, b)
		w.mu.Lock()
		w.logf("POST %s/%s at %s: %d %s", j.queue, j.id, d.name, status, text)
		ok := status/100 == 2
		if ok {
			j.accepted = time.Now()
		}
		w.mu.Unlock()
		if ok {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// cancel cancels a job, again and again until that is acknowledged or until has passed.
func (w *world) cancel(j *jobRecord, key string, until time.Time) {
	w.mu.Lock()
	j.cancelSent = time.Now()
	w.mu.Unlock()
	for time.Now().Before(until) {
		d := w.daemons[rand.IntN(len(w.daemons))]
		status, text := d.call(http.MethodDelete, j.queue, j.id, key, nil)
		w.mu.Lock()
		w.logf("DELETE %s/%s at %s: %d %s", j.queue, j.id, d.name, status, text)
		ok := status/100 == 2 || status == http.StatusGone
		if ok {
			j.cancelled = time.Now()
		}
		w.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// look asks for a job's state at a daemon and checks the answer.
func (w *world) look(j *jobRecord, key string) string {
	d := w.daemons[rand.IntN(len(w.daemons))]
	status, text := d.call(http.MethodGet, j.queue, j.id, key, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if status != http.StatusOK {
		if status == http.StatusGone && j.cancelSent.IsZero() && time.Since(j.accepted) > 3*time.Second {
			w.broken("LOST", "%s is shown as gone at %s", j.id, d.name)
		}
		return ""
	}
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &s) // An unreadable state is shown as it came.
	if s.State == j.state {
		return s.State
	}
	w.logf("GET %s at %s: %d %s", j.id, d.name, status, strings.TrimSpace(text))
	j.state = s.State
	switch s.State {
	case "completed":
		w.checkCompleted(j)
	case "failed":
		w.checkFailed(j)
	case "cancelled":
		if j.cancelSent.IsZero() {
			w.broken("LOST", "%s is shown as cancelled, and nobody has cancelled it", j.id)
		}
	case "pending", "running":
	default:
		w.broken("MIXED", "the state of %s can't be read: %q", j.id, text)
	}
	return s.State
}

// checkCompleted checks that all tasks of a job have ended done. The caller holds mu.
func (w *world) checkCompleted(j *jobRecord) {
	for k := range max(1, j.times) {
		for i, st := range j.spec.Steps {
			done := 0
			for n := range st.Count {
				if t := w.tasks[fmt.Sprintf("%s.%d.%d.%d", j.id, k, i, n)]; t != nil && t.done != nil {
					done++
				}
			}
			if done < st.Count && (!st.Gang || done == 0) {
				w.broken("MIXED", "%s is shown as completed with %d of %d tasks of step %d.%d done", j.id, done, st.Count, k, i)
			}
		}
	}
}

// checkFailed checks that a task of a job has failed as often as its queue allows. The caller holds mu.
func (w *world) checkFailed(j *jobRecord) {
	most := 0
	for name, t := range w.tasks {
		if strings.HasPrefix(name, j.id+".") {
			most = max(most, t.failures)
		}
	}
	if most < j.attempts {
		w.broken("LOST", "%s is shown as failed after %d failures of a task, of %d", j.id, most, j.attempts)
	}
}
