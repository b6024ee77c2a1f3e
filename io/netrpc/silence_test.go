package netrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"lavenderpond/io/supervisor"
)

// TestPulse: a peer that owes a reply is asked for a sign of life at each look, and is
// silent at the fourth without one. A sign between two looks begins the count anew, and
// without calls nothing is asked.
func TestSilenceDetector(t *testing.T) {
	var d silenceDetector
	assert.Assert(t, d.callStarted())
	assert.Assert(t, !d.callStarted(), "looks have begun")
	for _, replied := range []bool{true, false} {
		for range maxSilentProbes {
			assert.Equal(t, d.probe(), probePing)
		}
		if replied {
			d.replyReceived()
			assert.Equal(t, d.probe(), probeWait)
		}
	}
	assert.Equal(t, d.probe(), probeClose)
	d.callEnded()
	d.callEnded()
	assert.Equal(t, d.probe(), probeStop)
	assert.Assert(t, d.callStarted(), "looks begin again")
	assert.Equal(t, d.probe(), probePing)
}

// TestSilentPeer: a zone is cut off without a word while a call waits for its answer.
// The caller is told, long before the call's own end, and not that nothing was sent.
// Without looks it would wait until its request's deadline.
func TestSilentPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &Pool{ProbeInterval: 10 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var g supervisor.Group
	g.Go(func() {
		conn, err := l.Accept()
		assert.Check(t, err)
		<-ctx.Done()
		_ = conn.Close()
	})
	_, err = echo(ctx, p, l.Addr().String(), "a")
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
	assert.NilError(t, ctx.Err())
	cancel()
	g.Wait()
	assert.NilError(t, l.Close())
}

// TestLongCallIsNoSilence: a call takes longer than many looks, as a survey step does.
// The peer answers each ping meanwhile, and the call gets its reply.
func TestSlowCallIsNotSilence(t *testing.T) {
	e, p, address := newEchoServer(t)
	c, err := p.client(t.Context(), address)
	assert.NilError(t, err)
	assert.Assert(t, c.silence.callStarted())
	call := c.start("Echo.Call", "slow", new(string))
	<-e.entered
	for range 3 * maxSilentProbes {
		assert.Equal(t, c.silence.probe(), probePing)
		ping := <-c.start(AliveName+".Ping", 1, new(int)).Done
		assert.NilError(t, ping.Error)
		assert.Equal(t, c.silence.probe(), probeWait)
	}
	close(e.release)
	assert.NilError(t, (<-call.Done).Error)
}
