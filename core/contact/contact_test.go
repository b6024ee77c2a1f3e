package contact_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/contact"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// The partition with the owner's rows is down, and so is one of the partitions with jobs.
// Calls to a partition that answers must be sent throughout the outage. Calls to a failing
// partition are refused immediately, except for periodic probes that detect its recovery.
func TestPartitionsAreDecidedIndependently(t *testing.T) {
	var b contact.Breaker
	b.RecordAnswer(start, "main")
	served, refused, probes := 0, 0, 0
	for d := time.Duration(0); d < 5*time.Second; d += 50 * time.Millisecond {
		b.RecordFailure(at(d), "main")
		if decision := b.Decide(at(d), "up"); decision == contact.Refuse {
			t.Fatalf("a call to a partition that answers was refused after %s", d)
		}
		b.RecordAnswer(at(d), "up")
		served++
		switch b.Decide(at(d), "down") {
		case contact.Refuse:
			refused++
		default:
			probes++
			b.RecordFailure(at(d), "down")
		}
	}
	assert.Equal(t, served, 100)
	assert.Assert(t, refused >= 70, "%d refused", refused)
	assert.Assert(t, probes >= 20, "%d probes", probes)
	b.RecordAnswer(at(5*time.Second), "down")
	assert.Equal(t, b.Decide(at(5*time.Second), "down"), contact.Call)
}

// The whole table is unreachable. One call every 100 ms probes whether it has recovered. All
// other calls are refused immediately, so that callers can turn to another process.
func TestTableOutageIsProbed(t *testing.T) {
	var b contact.Breaker
	b.RecordAnswer(start, "a")
	n := map[contact.Decision]int{}
	for d := time.Second; d < 3*time.Second; d += 10 * time.Millisecond {
		n[b.Decide(at(d), "a")]++
	}
	assert.Equal(t, n[contact.Probe], 20)
	assert.Equal(t, n[contact.Refuse], 180)
	b.RecordAnswer(at(3*time.Second), "b")
	assert.Equal(t, b.Decide(at(3*time.Second), "a"), contact.Call)
}

// A process that has just started has received no answer, so its first call is a probe.
func TestFirstCallIsAProbe(t *testing.T) {
	var b contact.Breaker
	assert.Equal(t, b.Decide(start, "a"), contact.Probe)
	assert.Equal(t, b.Decide(start, "a"), contact.Refuse)
}
