package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"lavenderpond/core"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/target/standin"
)

// checkCommand compares the answers that callers received with the starts that the
// targets recorded.
type checkCommand struct {
	Record  []string         `help:"Files written by 'entries --record'." required:""`
	Targets []netip.AddrPort `help:"One VM of each targets process started with --log-starts." required:""`
}

// checkResult counts the findings of a check.
type checkResult struct {
	IDs int `json:"ids"`
	// Done counts ids that were answered as done at least once.
	Done int `json:"done"`
	// Unknown counts ids that were never answered as done, and for which at least one
	// attempt was answered as outcome_unknown or not at all.
	Unknown int `json:"unknown"`
	// NotRun counts ids for which every attempt was answered as not_run.
	NotRun int `json:"not_run"`
	Starts int `json:"starts"`
	// FailedForMs is the time from the first to the last attempt that failed because the
	// home of the request had no holder or was unreachable. It shows how long the fleet
	// took to recover.
	FailedForMs                   int64 `json:"failed_for_ms"`
	firstFailureMs, lastFailureMs int64
	// The following must be zero. They count ids that started more than once, ids whose
	// last answer was not_run although they started, done answers with a body that was
	// truncated or belonged to another id, and ids answered as done that never started.
	DoubleStarts     int `json:"doubles"`
	FalseNotRun      int `json:"false_not_run"`
	InvalidBodies    int `json:"not_whole"`
	DoneWithoutStart int `json:"done_without_start"`
}

// Run prints the result, and fails if an answer contradicts the recorded starts.
func (c *checkCommand) Run(ctx context.Context) error {
	starts, err := c.readStarts(ctx)
	if err != nil {
		return err
	}
	attempts := make(map[string][]attempt)
	for _, path := range c.Record {
		if err := readRecord(path, attempts); err != nil {
			return err
		}
	}
	var r checkResult
	for id, list := range attempts {
		r.addRequest(list, starts[id])
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return err
	}
	if r.DoubleStarts+r.FalseNotRun+r.InvalidBodies+r.DoneWithoutStart > 0 {
		return errors.New("callers received answers that contradict the recorded starts")
	}
	return nil
}

// addRequest adds the attempts of one id, in order, and the number of its starts.
func (r *checkResult) addRequest(list []attempt, starts int) {
	r.IDs++
	r.Starts += starts
	if starts > 1 {
		r.DoubleStarts++
	}
	done, notRun, lastNotRun := false, true, false
	for _, a := range list {
		r.recordFailure(a)
		isDone := a.Outcome == pb.Outcome_OUTCOME_DONE.String()
		done = done || isDone
		lastNotRun = a.Outcome == pb.Outcome_OUTCOME_NOT_RUN.String()
		notRun = notRun && lastNotRun
		if isDone && !a.BodyValid {
			r.InvalidBodies++
		}
	}
	switch {
	case done:
		r.Done++
		if starts == 0 {
			r.DoneWithoutStart++
		}
	case notRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	// A caller makes its attempts one after the other. Its last answer must be true,
	// whatever the earlier ones said.
	if lastNotRun && starts > 0 {
		r.FalseNotRun++
	}
}

// recordFailure records the time of an attempt that an entry answered but could not pass to
// a holder. An attempt without an answer doesn't count: an entry that is down refuses
// connections, which says nothing about the rest of the fleet.
func (r *checkResult) recordFailure(a attempt) {
	if a.Code != core.CodeNoHolder.String() && a.Code != core.CodeHomeUnreachable.String() && a.Code != core.CodeZoneUnreachable.String() {
		return
	}
	if r.firstFailureMs == 0 || a.AtMs < r.firstFailureMs {
		r.firstFailureMs = a.AtMs
	}
	r.lastFailureMs = max(r.lastFailureMs, a.AtMs)
	r.FailedForMs = r.lastFailureMs - r.firstFailureMs
}

func (c *checkCommand) readStarts(ctx context.Context) (map[string]int, error) {
	counts := make(map[string]int)
	for _, address := range c.Targets {
		if err := loopbackOnly([]netip.AddrPort{address}); err != nil {
			return nil, err
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/control/starts", address), http.NoBody)
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, errors.Wrap(err, "read starts")
		}
		var list []standin.Start
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if err != nil {
			return nil, errors.Wrap(err, "decode starts")
		}
		for _, s := range list {
			counts[s.Task]++
		}
	}
	return counts, nil
}

func readRecord(path string, attempts map[string][]attempt) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var a attempt
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			return errors.Wrap(err, path)
		}
		attempts[a.ID] = append(attempts[a.ID], a)
	}
	return lines.Err()
}
