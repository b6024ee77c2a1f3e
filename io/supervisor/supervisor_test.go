package supervisor

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestNodeRestartsFailedChildren runs one child that panics twice and one that fails
// twice. Both are restarted until they succeed, and only then does the node return. A
// child that has finished is not restarted.
func TestNodeRestartsFailedChildren(t *testing.T) {
	var panics, failures, done int
	n := Node{Name: "test", Children: []Child{
		{Name: "panics", Run: func(context.Context) error {
			panics++
			if panics < 3 {
				panic("broken")
			}
			return nil
		}},
		{Name: "fails", Run: func(context.Context) error {
			failures++
			if failures < 3 {
				return errors.New("failed")
			}
			return nil
		}},
		{Name: "done", Run: func(context.Context) error {
			done++
			return nil
		}},
	}}
	assert.NilError(t, n.Run(t.Context()))
	assert.DeepEqual(t, []int{panics, failures, done}, []int{3, 3, 1})
}

func TestRestartDelayIsCapped(t *testing.T) {
	assert.Equal(t, restartDelay(1), 250*time.Millisecond)
	assert.Equal(t, restartDelay(1000), 5*time.Second)
}
