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

// TestSilenceDetector checks that a peer with a pending call is pinged at each probe and
// counts as silent at the fourth probe in a row without a reply. A reply between two
// probes resets the count. Without pending calls, probing stops.
func TestSilenceDetector(t *testing.T) {
	var d silenceDetector
	assert.Assert(t, d.callStarted())
	assert.Assert(t, !d.callStarted(), "probing has already started")
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
	assert.Assert(t, d.callStarted(), "probing must start again")
	assert.Equal(t, d.probe(), probePing)
}

// TestSilentPeer checks that a call fails long before its deadline if the network starts
// to drop all packets while the call is pending. The error must not be ErrNotSent.
// Without probes, the call would wait until its request's deadline.
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

// TestSlowCallIsNotSilence checks that a call gets its reply although it takes longer than
// many probe intervals, because the peer answers each ping meanwhile.
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
