package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	host = "jobs.example"
	// visible is visible_ms of the settings.
	visible = 3 * time.Second
)

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
	b := j.text()
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	for time.Now().Before(until) {
		d := w.daemons[rand.IntN(len(w.daemons))]
		status, text := d.call(http.MethodPost, j.queue, j.id, key, b)
		w.mu.Lock()
		w.logf("POST %s/%s at %s: %d %s", j.queue, j.id, d.name, status, text)
		ok := status/100 == 2
		refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		switch {
		case ok:
			j.accepted = time.Now()
		case !refused:
			j.unanswered = true
		case j.once && !j.unanswered:
			j.refused = true
			if w.begunJob(j) {
				w.broken("REFUSED", "%s has started, and %s refused it with %d", j.id, d.name, status)
			}
		}
		w.mu.Unlock()
		if ok || j.refused {
			return ok
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// submitAgain hands in a job once more that was accepted. It remains one job.
func (w *world) submitAgain(j *jobRecord, key string) {
	d := w.daemons[rand.IntN(len(w.daemons))]
	status, text := d.call(http.MethodPost, j.queue, j.id, key, j.text())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("POST again %s/%s at %s: %d %s", j.queue, j.id, d.name, status, text)
}

// text returns the body in which the job is handed in.
func (j *jobRecord) text() []byte {
	body := map[string]any{"spec": j.spec.text(), "steps": j.steps}
	if j.times > 0 {
		body["repeat_count"], body["start_at_ms"], body["interval_ms"] = j.times, j.due.UnixMilli(), j.interval.Milliseconds()
	}
	b, _ := json.Marshal(body)
	return b
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
			most = max(most, t.failedEnds)
		}
	}
	if most < j.attempts {
		w.broken("LOST", "%s is shown as failed after %d failures of a task, of %d", j.id, most, j.attempts)
	}
}

// watchBacklogs asks for the backlogs of queues until ctx ends, and checks the answers of daemons in touch.
func (w *world) watchBacklogs(ctx context.Context, key string, queues ...string) {
	for ctx.Err() == nil {
		for _, q := range queues {
			d := w.daemons[rand.IntN(len(w.daemons))]
			sent := time.Now()
			status, text := d.call(http.MethodGet, q, "", key, nil)
			if status == http.StatusOK {
				w.checkBacklog(d, q, sent, text)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkBacklog checks a backlog against the jobs that were accepted visible_ms and 2 s before it was asked for,
// and haven't begun yet.
func (w *world) checkBacklog(d *daemon, queue string, sent time.Time, text string) {
	var s struct {
		Backlog *int `json:"backlog"`
	}
	_ = json.Unmarshal([]byte(text), &s) // An unreadable answer has no backlog.
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Backlog == nil {
		w.broken("MIXED", "the backlog of %s can't be read: %q", queue, text)
		return
	}
	waiting := 0
	for _, j := range w.jobs {
		accepted := !j.accepted.IsZero() && j.accepted.Before(sent.Add(-visible-2*time.Second))
		if j.queue == queue && accepted && j.times == 0 && j.cancelSent.IsZero() && !w.begunJob(j) {
			waiting++
		}
	}
	if waiting == 0 {
		return
	}
	inTouch := d.calm.at(sent) && w.calm.at(sent)
	w.logf("GET %s at %s: backlog %d, %d jobs wait (in touch: %t)", queue, d.name, *s.Backlog, waiting, inTouch)
	if inTouch && 2**s.Backlog < waiting {
		w.broken("MIXED", "%s gives a backlog of %d for %s, where %d jobs that were accepted %s before haven't begun", d.name, *s.Backlog, queue, waiting, visible+2*time.Second)
	}
}

// begunJob reports whether a task of the job has been started. The caller holds mu.
func (w *world) begunJob(j *jobRecord) bool {
	for i, st := range j.spec.Steps {
		for n := range st.Count {
			if t := w.tasks[fmt.Sprintf("%s.0.%d.%d", j.id, i, n)]; t != nil && t.starts > 0 {
				return true
			}
		}
	}
	return false
}
