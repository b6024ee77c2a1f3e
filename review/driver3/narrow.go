package main

import (
	"context"
	"net"
	"sync"
	"time"

	"lavenderpond/io/supervisor"
)

// narrowChunk is how many bytes pass a narrow link at a time.
const narrowChunk = 4 << 10

// narrow is a link of limited bandwidth, the same in both directions.
type narrow struct {
	bytesPerSecond float64
	mu             sync.Mutex
	// free is when the link is free again, in each direction.
	free [2]time.Time
}

// pass waits until n bytes have passed the link.
func (x *narrow) pass(direction, n int) {
	x.mu.Lock()
	now := time.Now()
	if x.free[direction].Before(now) {
		x.free[direction] = now
	}
	x.free[direction] = x.free[direction].Add(time.Duration(float64(n) / x.bytesPerSecond * float64(time.Second)))
	until := x.free[direction]
	x.mu.Unlock()
	time.Sleep(time.Until(until))
}

// serve forwards connections to target until ctx ends, and returns the address at which it listens.
func (x *narrow) serve(ctx context.Context, g *supervisor.Group, target string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	g.Go(func() {
		<-ctx.Done()
		_ = l.Close()
	})
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() { x.forward(ctx, g, c, target) })
		}
	})
	return l.Addr().String(), nil
}

// forward forwards a connection until either end closes it or ctx ends.
func (x *narrow) forward(ctx context.Context, g *supervisor.Group, c net.Conn, target string) {
	s, err := net.Dial("tcp4", target)
	if err != nil {
		_ = c.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() {
		_ = c.Close()
		_ = s.Close()
	})
	defer stop()
	ends := [2]net.Conn{c, s}
	var both sync.WaitGroup
	for d := range ends {
		both.Add(1)
		g.Go(func() {
			defer both.Done()
			b := make([]byte, narrowChunk)
			for {
				n, err := ends[d].Read(b)
				x.pass(d, n)
				if _, writeErr := ends[1-d].Write(b[:n]); err != nil || writeErr != nil {
					_ = c.Close()
					_ = s.Close()
					return
				}
			}
		})
	}
	both.Wait()
}
