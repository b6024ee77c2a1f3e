package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// twoOwnersClocks returns the table's clock as two owners know it, and a function from milliseconds to
// times of their common clock. The table's clock shows 5000 somewhere between 0 and 300 ms, and 9000
// exactly 4 s later.
func twoOwnersClocks() (writer, reader *tableClock, at func(ms int) time.Time) {
	base := bootNow()
	at = func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	writer, reader = &tableClock{}, &tableClock{}
	writer.observe(5000, at(0), at(300))
	reader.observe(9000, at(4000), at(4300))
	return writer, reader, at
}

// Guards against an outdated reading of the table's clock that replaces a newer one.
func TestTableClockKeepsNewestReading(t *testing.T) {
	var c tableClock
	now := bootNow()
	c.observe(9000, now, now)
	c.observe(5000, now, now.Add(time.Second))
	at, ok := c.surelyAt(9000)
	assert.Assert(t, ok && at.Equal(now))
}
