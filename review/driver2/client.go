package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// stepDef is a step as it is handed in. RunMS and Advised tell the workers what its tasks do.
type stepDef struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	MemMB       int64 `json:"mem_mb"`
	EstimateMS  int64 `json:"estimated_ms"`
	LongRunning bool  `json:"long_running,omitempty"`
	MaxPer      int   `json:"max_per_server,omitempty"`
	TargetMS    int64 `json:"target_ms,omitempty"`
	Fills       bool  `json:"fills,omitempty"`

	RunMS   int64 `json:"-"`
	Advised bool  `json:"-"`
}

func (s *stepDef) run() time.Duration { return time.Duration(s.RunMS) * time.Millisecond }

// reserved returns the CPU that counts against a worker's capacity.
func (s *stepDef) reserved() int64 {
	if s.Fills {
		return 0
	}
	return s.CPU
}

// load returns the rough figure that a worker lists for a run: far below its target for a task that serves,
// and the CPU in use for any other.
func (s *stepDef) load() int64 {
	if s.TargetMS > 0 {
		return s.TargetMS / 10
	}
	return s.CPU
}

// submission is a job as it is handed in.
type submission struct {
	Spec     string    `json:"spec"`
	Steps    []stepDef `json:"steps"`
	Repeat   int       `json:"repeat_count,omitempty"`
	StartAt  int64     `json:"start_at_ms,omitempty"`
	Interval int64     `json:"interval_ms,omitempty"`

	id, host string
	// ends counts the ends that workers have listed, by how they ended.
	ends map[string]int
}

// stepOf returns the step of a task and the spec of its job.
func (w *world) stepOf(task string) (step stepDef, spec string, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, i := jobOf(task)
	j := w.jobs[id]
	if j == nil || i >= len(j.Steps) {
		return stepDef{RunMS: 1000}, "", false
	}
	return j.Steps[i], j.Spec, true
}

func (w *world) begun(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[task]++
}

func (w *world) ended(task, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _ := jobOf(task)
	if j := w.jobs[id]; j != nil {
		j.ends[how]++
	}
}

// startCount returns how often a task has started.
func (w *world) startCount(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// endCount returns how many runs of a job have ended in this way.
func (w *world) endCount(id, how string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id].ends[how]
}

// callTimeout is how long a client waits for an answer.
const callTimeout = 3 * time.Second

// call makes one call of a client at a daemon.
func (w *world) call(e *edge, method, host, path string, body []byte) (status int, answer []byte, err error) {
	req, err := http.NewRequestWithContext(w.ctx, method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c := http.Client{Transport: w.client.Transport, Timeout: callTimeout}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // The body has been read.
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// submit hands a job in until it is accepted. Retries go to other daemons.
func (w *world) submit(id, host string, j *submission) error {
	j.id, j.host, j.ends = id, host, map[string]int{}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	for i := range 12 {
		e := w.edges[i%len(w.edges)]
		w.record("client: POST %s%s to %s: %s", pathPrefix, id, e.name, body)
		status, _, err := w.call(e, http.MethodPost, host, pathPrefix+id, body)
		w.record("client: POST %s answered %d %v", id, status, errText(err))
		if status == http.StatusOK {
			return nil
		}
		w.sleep(500 * time.Millisecond)
	}
	return errors.Wrapf(errNoResult, "job %s was not accepted", id)
}

// state asks the daemons in turn for the state of a job until one answers, and returns 0 for the
// status if none does.
func (w *world) state(j *submission) (status int, state string) {
	for _, e := range w.edges {
		status, b, err := w.call(e, http.MethodGet, j.host, pathPrefix+j.id, nil)
		w.record("client: GET %s at %s answered %d %s %v", j.id, e.name, status, bytes.TrimSpace(b), errText(err))
		if err != nil || (status != http.StatusOK && status != http.StatusGone) {
			continue
		}
		var out struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(b, &out) != nil {
			return status, "unreadable"
		}
		return status, out.State
	}
	return 0, ""
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
