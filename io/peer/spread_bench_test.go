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

// wire is a net/rpc connection within the process that counts the bytes written to it.
type wire struct {
	*rpc.Client
	bytes atomic.Int64
}

// wired is one end of a wire.
type wired struct {
	net.Conn
	bytes *atomic.Int64
}

func (w wired) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// connect lets all further calls go over net/rpc.
func (f *spreadFleet) connect(b *testing.B, g *supervisor.Group) {
	f.wires = make(map[string]*wire)
	for _, e := range f.entries {
		server := rpc.NewServer()
		assert.NilError(b, server.RegisterName(SpreadName, e.spread.Receiver()))
		here, there := net.Pipe()
		w := &wire{}
		g.Go(func() { server.ServeConn(wired{there, &w.bytes}) })
		w.Client = rpc.NewClient(wired{here, &w.bytes})
		f.wires[e.spread.Self.Address] = w
	}
}

// sent returns the bytes of all calls and replies so far.
func (f *spreadFleet) sent() int64 {
	var sum int64
	for _, w := range f.wires {
		sum += w.bytes.Load()
	}
	return sum
}

// BenchmarkSpread counts the messages and bytes of a quiet second, by size of the
// fleet, with the table up and down.
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
	f.connect(b, &g)
	for range 10 {
		f.second()
	}
	if tableDown {
		f.reachTable(nil)
	}
	for range 10 {
		f.second()
	}
	f.calls = 0
	before := f.sent()
	for b.Loop() {
		f.second()
	}
	b.ReportMetric(float64(f.calls)/float64(b.N), "messages/s")
	b.ReportMetric(float64(f.calls)/float64(b.N*len(f.entries)), "messages/s/entry")
	b.ReportMetric(float64(f.sent()-before)/float64(f.calls), "B/message")
	for _, w := range f.wires {
		assert.NilError(b, w.Close())
	}
}
