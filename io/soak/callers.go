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
	// submitAttempts is how often a submission is sent at most.
	submitAttempts = 5
	// retryDelay is the delay between two attempts and between two requests for a state.
	retryDelay = 300 * time.Millisecond
	// maxReturnDelay is the longest time after which a refused caller comes back. If it is told
	// to wait longer, it gives the job up.
	maxReturnDelay = 10 * time.Second
	// cancelOneIn is the mean number of jobs submitted per job that is cancelled.
	cancelOneIn = 12
	// One in crashOneIn jobs has a task that crashes VMs, and on average one in
	// crashLongRunningOneIn of these is long-running.
	crashOneIn, crashLongRunningOneIn = 40, 4
)

// caller submits jobs and polls their states over persistent connections.
type caller struct {
	fleet   *fleet
	account standin.Account
	client  http.Client
	rng     *rand.Rand
	// submitted counts the submitted jobs, index identifies the caller; IDs of jobs contain both.
	submitted int
	index     int
	// crashOffset says which of every crashOneIn jobs has a task that crashes VMs.
	crashOffset int
}

func newCaller(f *fleet, index int, rng *rand.Rand) *caller {
	return &caller{
		fleet: f, index: index, rng: rng, crashOffset: rng.IntN(crashOneIn),
		account: standin.Accounts[(index-1)%len(standin.Accounts)],
		client:  http.Client{Transport: &http.Transport{}, Timeout: callTimeout},
	}
}

// run submits jobs until submitting ends, and polls unfinished ones until ctx ends.
func (c *caller) run(ctx, submitting context.Context) {
	var unfinished []job.ID
	for ctx.Err() == nil {
		hot := c.fleet.isHot(c.account.Name)
		jobs := 1
		if hot {
			jobs = hotJobs
		}
		for range jobs {
			if submitting.Err() == nil && (!hot || len(unfinished) < maxUnfinished) {
				unfinished = append(unfinished, c.submitNext(ctx))
			}
		}
		if submitting.Err() == nil && c.rng.IntN(cancelOneIn) == 0 {
			c.cancel(ctx, unfinished[c.rng.IntN(len(unfinished))])
		}
		remaining := unfinished[:0:0]
		for _, id := range unfinished {
			if !c.pollState(ctx, id) {
				remaining = append(remaining, id)
			}
		}
		unfinished = remaining
		if !hot {
			supervisor.Sleep(ctx, retryDelay)
		}
	}
}

// submitNext submits the next job.
func (c *caller) submitNext(ctx context.Context) job.ID {
	steps := c.randomSteps()
	spec := standin.Spec{CPU: steps[0].CPU, RunMS: steps[0].RunMS}
	if c.submitted%crashOneIn == c.crashOffset {
		if spec.LongRunning = c.rng.IntN(crashLongRunningOneIn) == 0; spec.LongRunning {
			steps = steps[:1]
			steps[0].LongRunning = true
		}
		spec.Crash = &standin.CrashingTask{Step: c.rng.IntN(len(steps))}
		step := &steps[spec.Crash.Step]
		step.Count++
		spec.Crash.Index = c.rng.IntN(step.Count)
	}
	return c.submit(ctx, spec, steps)
}

// randomSteps returns one to three steps, each after the one before.
func (c *caller) randomSteps() []standin.StepBody {
	var out []standin.StepBody
	// The VM takes the resources of a task from the spec of the job, which has one value for
	// all steps.
	cpu, runMS := 1000+c.rng.Int64N(3000), 50+c.rng.Int64N(600)
	for s := range 1 + c.rng.IntN(3) {
		step := standin.StepBody{Count: 1 + c.rng.IntN(4), CPU: cpu, MemMB: 100, RunMS: runMS}
		if s > 0 {
			step.After = []int{s - 1}
		}
		out = append(out, step)
	}
	return out
}

// submit sends a job to random daemons, with the same ID each time, until one answers that the
// job was accepted or that the outcome is unknown. After a refusal it comes back when the daemon
// says. It gives up after submitAttempts.
func (c *caller) submit(ctx context.Context, spec standin.Spec, steps []standin.StepBody) job.ID {
	c.submitted++
	id := job.ID(fmt.Sprintf("%08x%08x", c.index, c.submitted))
	body, err := standin.JobBody(spec, steps)
	if err != nil {
		return id
	}
	c.fleet.checker.Submitting(id, c.account.Name, spec, steps)
	for range submitAttempts {
		a := c.call(ctx, http.MethodPost, id, body)
		c.fleet.checker.SubmitAnswered(id, a.status)
		if a.status == http.StatusOK || a.status == http.StatusGatewayTimeout || a.retryAfter > maxReturnDelay {
			break
		}
		supervisor.Sleep(ctx, max(retryDelay, a.retryAfter))
	}
	return id
}

// pollState requests the state of a job and reports whether the job has finished.
func (c *caller) pollState(ctx context.Context, id job.ID) bool {
	a := c.call(ctx, http.MethodGet, id, nil)
	var out struct {
		State string `json:"state"`
	}
	if a.status == http.StatusOK && json.Unmarshal(a.body, &out) != nil {
		return false
	}
	c.fleet.checker.StateReturned(id, a.status, out.State)
	return a.status == http.StatusGone || out.State == "completed" || out.State == "cancelled" || out.State == "failed"
}

// cancel requests the cancellation of a job and ignores the answer.
func (c *caller) cancel(ctx context.Context, id job.ID) {
	c.fleet.checker.Cancelling(id)
	c.call(ctx, http.MethodDelete, id, nil)
}

// answer is a daemon's answer to a call. Status 0 means no answer.
type answer struct {
	status int
	body   []byte
	// retryAfter is the time that a refused caller is told to wait.
	retryAfter time.Duration
}

// call sends a request to a random daemon.
func (c *caller) call(ctx context.Context, method string, id job.ID, body []byte) answer {
	e := c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callerAddress.String()+standin.PathPrefix+string(id), bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	r.Host = standin.Host
	r.Header.Set("Api-Key", c.account.Key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := c.client.Do(r)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close() //nolint:errcheck // The answer has been read.
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: resp.StatusCode, body: b, retryAfter: c.fleet.checker.Answered(id, resp.StatusCode, resp.Header.Get("Retry-After"))}
}
