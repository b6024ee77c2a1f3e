package platform

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

type countingList struct {
	reads int
	size  int
	down  bool
}

func (c *countingList) Live(context.Context, core.ZoneID) ([]Liveness, error) {
	c.reads++
	if c.down {
		return nil, table.ErrUnreachable
	}
	return make([]Liveness, c.size), nil
}

// Four readers read the list ten times a second for a minute. A small zone's list must be
// fetched once a second, and a large one's at the configured rate. A list that can't be
// renewed must be refused and not served from the cache.
func TestSharedListPollRate(t *testing.T) {
	for size, reads := range map[int]int{17: 60, 150: 29, 1430: 4} {
		source := &countingList{size: size}
		now := time.Unix(0, 0)
		s := &SharedList{LiveList: source, Now: func() time.Time { return now }}
		for range 600 {
			for range 4 {
				list, err := s.Live(t.Context(), "zone_a")
				assert.NilError(t, err)
				assert.Equal(t, len(list), size)
			}
			now = now.Add(100 * time.Millisecond)
		}
		assert.Equal(t, source.reads, reads, "size %d", size)
		source.down = true
		now = now.Add(sharedListMaxTTL)
		_, err := s.Live(t.Context(), "zone_a")
		assert.ErrorIs(t, err, table.ErrUnreachable)
	}
}
