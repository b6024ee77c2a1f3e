package trace_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core/trace"
)

const firstLog = `{"level":"info","node":"edge-1","event":"call_accepted","method":"submit","job":"0000","time":1000}
{"level":"info","node":"edge-1","event":"call_accepted","method":"submit","job":"other","time":1001}
{"level":"info","node":"edge-1","event":"feed_lost","table":"op","time":1500}
not a log line
`

const secondLog = `  1.2 edge-2 {"level":"info","node":"edge-2","event":"task_ordered","job":"0000","task":"0000.0.0.1","attempt":10001,"vm":"i-1","time":1002}
{"level":"info","node":"edge-2","event":"vm_silent","vm":"i-1","reason":"unanswered","time":1700}
{"level":"info","node":"edge-2","event":"vm_silent","vm":"i-2","reason":"unanswered","time":1701}
{"level":"info","node":"edge-2","event":"job_ended","job":"0000","reason":"completed","omitted":7,"time":2000}
{"level":"info","node":"edge-2","event":"owner_no_more","time":2500}
`

// TestHistoryOfAJob checks that the history contains the job's own lines in order of time,
// the context events between them, and the events of only those VMs on which the job ran.
func TestHistoryOfAJob(t *testing.T) {
	h, err := trace.Read("0000", strings.NewReader(firstLog), strings.NewReader(secondLog))
	assert.NilError(t, err)
	var events []string
	for _, l := range h.Lines {
		events = append(events, l.Node+" "+l.Event)
	}
	assert.DeepEqual(t, events, []string{
		"edge-1 call_accepted", "edge-2 task_ordered", "edge-1 feed_lost", "edge-2 vm_silent", "edge-2 job_ended",
	})
	assert.Equal(t, h.Omitted, 7)
	assert.Equal(t, h.Unreadable, 1)
}

func TestUnknownJobHasNoHistory(t *testing.T) {
	h, err := trace.Read("ffff", strings.NewReader(firstLog))
	assert.NilError(t, err)
	assert.Equal(t, len(h.Lines), 0)
}
