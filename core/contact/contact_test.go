package contact_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/contact"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// The part with the owner's rows is down, those with jobs are not. Callers whose job
// lies in a part that answers are served all the while; the others are refused at once,
// but for one call in a while that finds the part's return.
func TestPartsAreDecidedIndependently(t *testing.T) {
	var b contact.Breaker
	b.RecordAnswer(start, "main")
	served, refused, probes := 0, 0, 0
	for d := time.Duration(0); d < 5*time.Second; d += 50 * time.Millisecond {
		b.RecordFailure(at(d), "main")
		if decision := b.Decide(at(d), "up"); decision == contact.Refuse {
			t.Fatalf("a part that answers was refused after %s", d)
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

// The table is out of reach as a whole. One call every tenth of a second finds its
// return; all others are refused at once and can go to another process.
func TestTableOutageIsProbed(t *testing.T) {
	var c contact.Breaker
	c.RecordAnswer(start, "a")
	n := map[contact.Decision]int{}
	for d := time.Second; d < 3*time.Second; d += 10 * time.Millisecond {
		n[c.Decide(at(d), "a")]++
	}
	assert.Equal(t, n[contact.Probe], 20)
	assert.Equal(t, n[contact.Refuse], 180)
	c.RecordAnswer(at(3*time.Second), "b")
	assert.Equal(t, c.Decide(at(3*time.Second), "a"), contact.Call)
}

// A process that has just begun has heard nothing; its first call finds out.
func TestFirstCallIsAProbe(t *testing.T) {
	var c contact.Breaker
	assert.Equal(t, c.Decide(start, "a"), contact.Probe)
	assert.Equal(t, c.Decide(start, "a"), contact.Refuse)
}
