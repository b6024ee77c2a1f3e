package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"lavenderpond/platform/standin"
)

const (
	// meanCrowdInterval is the mean time between the starts of two crowds.
	meanCrowdInterval = 4 * time.Second
	// crowdSize is the number of clients of a crowd, crowdBodyBytes the length of their bodies, which they
	// don't finish.
	crowdSize      = 300
	crowdBodyBytes = 256 << 10
	// crowdSendTimeout bounds how long a client of a crowd tries to send its body.
	crowdSendTimeout = 200 * time.Millisecond
)

// crowdFaults are clients that don't keep to the limits.
var crowdFaults = []fault{
	{name: "unfinished_bodies", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		conns := f.sendCrowd(e, crowdHeader()+strings.Repeat("x", crowdBodyBytes-1))
		return e.name, func() { closeAll(conns) }
	}},
	{name: "silent_connections", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		conns := f.sendCrowd(e, "")
		return e.name, func() { closeAll(conns) }
	}},
}

func crowdHeader() string {
	return fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nDeadline-Ms: 30000\r\nContent-Length: %d\r\n\r\n",
		standin.PathPrefix, 0, standin.Host, standin.Accounts[0].Key, crowdBodyBytes)
}

// sendCrowd lets the clients of a crowd connect to a daemon and send a text, and returns their connections.
func (f *fleet) sendCrowd(e *entry, text string) []net.Conn {
	conns := make([]net.Conn, crowdSize)
	for i := range conns {
		c, err := net.DialTimeout("tcp4", e.daemonAddress.String(), crowdSendTimeout)
		if err != nil {
			continue // The daemon may be down.
		}
		conns[i] = c
		f.group.Go(func() {
			if c.SetWriteDeadline(time.Now().Add(crowdSendTimeout)) == nil {
				_, _ = c.Write([]byte(text)) // The daemon may give the connection up.
			}
		})
	}
	return conns
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
}
