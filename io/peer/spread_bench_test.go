package peer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/io/supervisor"
)

// countingClient is a net/rpc client over an in-process connection. It counts the bytes
// written by both ends.
type countingClient struct {
	*rpc.Client
	bytes atomic.Int64
}

// writeCountingConn adds the bytes written to it to a counter.
type writeCountingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (w writeCountingConn) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// useNetRPC makes all further calls go over net/rpc.
func (f *spreadFleet) useNetRPC(b *testing.B, g *supervisor.Group) {
	f.clients = make(map[string]*countingClient)
	for _, e := range f.entries {
		server := rpc.NewServer()
		assert.NilError(b, server.RegisterName(SpreadName, e.spread.Receiver()))
		clientConn, serverConn := net.Pipe()
		client := &countingClient{}
		g.Go(func() { server.ServeConn(writeCountingConn{serverConn, &client.bytes}) })
		client.Client = rpc.NewClient(writeCountingConn{clientConn, &client.bytes})
		f.clients[e.spread.Self.Address] = client
	}
}

// bytesSent returns the total size of all calls and replies so far.
func (f *spreadFleet) bytesSent() int64 {
	var sum int64
	for _, client := range f.clients {
		sum += client.bytes.Load()
	}
	return sum
}

// BenchmarkSpread reports the number and size of the messages per second without
// changes, for fleets of several sizes, with the table up and down.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ zones, perZone int }{{3, 2}, {3, 6}, {7, 6}, {7, 24}} {
		for _, tableDown := range []bool{false, true} {
			b.Run(fmt.Sprintf("zones=%d/entries=%d/table_down=%t", size.zones, size.zones*size.perZone, tableDown), func(b *testing.B) {
				benchmarkSpread(b, size.zones, size.perZone, tableDown)
			})
		}
	}
}

func benchmarkSpread(b *testing.B, zoneCount, perZone int, tableDown bool) {
	var g supervisor.Group
	defer g.Wait()
	var zones []core.ZoneID
	for i := range zoneCount {
		zones = append(zones, core.ZoneID(fmt.Sprint("zone_", i)))
	}
	f := newSpreadFleet(rand.New(rand.NewPCG(1, 7)), zones, perZone, false)
	f.useNetRPC(b, &g)
	for range 10 {
		f.advanceSecond()
	}
	if tableDown {
		f.restrictTable(nil)
	}
	for range 10 {
		f.advanceSecond()
	}
	f.calls = 0
	before := f.bytesSent()
	for b.Loop() {
		f.advanceSecond()
	}
	b.ReportMetric(float64(f.calls)/float64(b.N), "messages/s")
	b.ReportMetric(float64(f.calls)/float64(b.N*len(f.entries)), "messages/s/entry")
	b.ReportMetric(float64(f.bytesSent()-before)/float64(f.calls), "B/message")
	for _, client := range f.clients {
		assert.NilError(b, client.Close())
	}
}
