package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// tableClockInterval is how often the owner reads the table's clock, from which its own
	// drifts.
	tableClockInterval = time.Minute
	// tableClockTimeout bounds one reading. The clock is known the less well the longer the
	// reading takes.
	tableClockTimeout = time.Second
)

// tableClock relates the table's monotonic clock to that of this process. The zero value has no
// reading.
type tableClock struct {
	mu sync.Mutex
	// reading was taken between sent and received.
	reading        tableTime
	sent, received time.Time
}

// observe records a reading that was requested at sent and received at received.
func (c *tableClock) observe(reading tableTime, sent, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reading > c.reading {
		c.reading, c.sent, c.received = reading, sent, received
	}
}

// latestAt returns the latest time that the table's clock can show at t, or 0 if there is no
// reading.
func (c *tableClock) latestAt(t time.Time) tableTime {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading == 0 {
		return 0
	}
	return c.reading + tableTime(t.Sub(c.sent).Milliseconds()) + 1
}

// surelyAt returns when the table's clock has certainly reached x, or false if there is no reading.
func (c *tableClock) surelyAt(x tableTime) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading == 0 {
		return time.Time{}, false
	}
	return c.received.Add(time.Duration(x-c.reading) * time.Millisecond), true
}

// follow reads the table's clock periodically until ctx ends.
func (c *tableClock) follow(ctx context.Context, table *platform.Table, log zerolog.Logger) error {
	return supervisor.Every(ctx, tableClockInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, tableClockTimeout)
		defer cancel()
		sent := bootNow()
		s, err := table.List(ctx, platform.Range{Table: ownerTable, Partition: mainPartition, From: ownerKeyName, Limit: 1})
		if err != nil {
			log.Debug().Err(err).Msg("table clock could not be read")
			return
		}
		c.observe(tableTime(s.ClockMS), sent, bootNow())
	})
}
