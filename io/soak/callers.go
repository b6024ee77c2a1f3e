package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform/standin"
)

const (
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
	// tries is how often a submission is sent.
	tries = 5
	// tryPause is the pause between two tries and between two looks at a state.
	tryPause = 300 * time.Millisecond
	// cancelOneIn is how many jobs there are for one that is cancelled.
	cancelOneIn = 12
	// crashOneIn is how many jobs there are for one with a task that crashes VMs, and
	// crashLastsOneIn how many of those for one whose tasks last.
	crashOneIn, crashLastsOneIn = 40, 4
)

// caller hands jobs in and follows them over connections that it keeps open.
type caller struct {
	fleet  *fleet
	client http.Client
	rng    *rand.Rand
	serial int
	name   int
	// crash says which of each crashOneIn jobs has a task that crashes VMs.
	crash int
}

func newCaller(f *fleet, name int, rng *rand.Rand) *caller {
	return &caller{
		fleet: f, name: name, rng: rng, crash: rng.IntN(crashOneIn),
		client: http.Client{Transport: &http.Transport{}, Timeout: callTimeout},
	}
}

// run hands jobs in until work ends, and follows what is open until ctx ends.
func (c *caller) run(ctx, work context.Context) {
	var open []job.ID
	for ctx.Err() == nil {
		if work.Err() == nil {
			open = append(open, c.offer(ctx))
		}
		if work.Err() == nil && c.rng.IntN(cancelOneIn) == 0 {
			c.cancel(ctx, open[c.rng.IntN(len(open))])
		}
		left := open[:0:0]
		for _, id := range open {
			if !c.follow(ctx, id) {
				left = append(left, id)
			}
		}
		open = left
		supervisor.Sleep(ctx, tryPause)
	}
}

// offer hands in the next job.
func (c *caller) offer(ctx context.Context) job.ID {
	steps := c.steps()
	spec := standin.Spec{CPU: steps[0].CPU, RunMS: steps[0].RunMS}
	if c.serial%crashOneIn == c.crash {
		if spec.LongRunning = c.rng.IntN(crashLastsOneIn) == 0; spec.LongRunning {
			steps = steps[:1]
			steps[0].LongRunning = true
		}
		spec.Crash = &standin.CrashingTask{Step: c.rng.IntN(len(steps))}
		one := &steps[spec.Crash.Step]
		one.Count++
		spec.Crash.Index = c.rng.IntN(one.Count)
	}
	return c.submit(ctx, spec, steps)
}

func (c *caller) steps() []standin.StepBody {
	var out []standin.StepBody
	// The VM reads what a task needs from the job's spec, which has one for all steps.
	cpu, runMS := 1000+c.rng.Int64N(3000), 50+c.rng.Int64N(600)
	for s := range 1 + c.rng.IntN(3) {
		one := standin.StepBody{Count: 1 + c.rng.IntN(4), CPU: cpu, MemMB: 100, RunMS: runMS}
		if s > 0 {
			one.After = []int{s - 1}
		}
		out = append(out, one)
	}
	return out
}

// submit hands a job in, with the same ID at several daemons until one says what
// became of it.
func (c *caller) submit(ctx context.Context, spec standin.Spec, steps []standin.StepBody) job.ID {
	c.serial++
	id := job.ID(fmt.Sprintf("%08x%08x", c.name, c.serial))
	body, err := standin.JobBody(spec, steps)
	if err != nil {
		return id
	}
	c.fleet.judge.Offered(id, spec, steps)
	for range tries {
		status, _ := c.call(ctx, http.MethodPost, id, body)
		c.fleet.judge.Answered(id, status)
		if status == http.StatusOK || status == http.StatusGatewayTimeout {
			break
		}
		supervisor.Sleep(ctx, tryPause)
	}
	return id
}

// follow looks at a job's state and tells whether it is over.
func (c *caller) follow(ctx context.Context, id job.ID) bool {
	status, body := c.call(ctx, http.MethodGet, id, nil)
	var out struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &out) != nil {
		return false
	}
	c.fleet.judge.Shown(id, status, out.State)
	return status == http.StatusGone || out.State == "completed" || out.State == "cancelled" || out.State == "failed"
}

func (c *caller) cancel(ctx context.Context, id job.ID) {
	c.fleet.judge.Cancelled(id)
	c.call(ctx, http.MethodDelete, id, nil)
}

// call makes one call to some daemon; status 0 stands for no answer.
func (c *caller) call(ctx context.Context, method string, id job.ID, body []byte) (status int, answer []byte) {
	e := c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers.String()+standin.Prefix+string(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = standin.Host
	r.Header.Set("Api-Key", standin.Key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close() //nolint:errcheck // The answer has been read.
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}
