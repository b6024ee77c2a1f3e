package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/fleet"
	"lavenderpond/core/limit"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
	"lavenderpond/io/platform/standin"
	"lavenderpond/io/supervisor"
)

// Parameters of the fleet that the command fill writes.
const (
	// rowsPerTransaction is the maximum number of rows in a transaction.
	rowsPerTransaction = 500
	// vmsPerRack is the number of VMs in a rack.
	vmsPerRack = 4
	// liveReportInterval is how often the VMs are reported as up. The platform's stand-in
	// forgets a VM after 3 s without a report.
	liveReportInterval = time.Second
	// churnTeams is the number of teams whose allotments are rewritten. The allotments of
	// a team are spread over churnZones zones, and over churnEntries entries in each
	// zone. The values are those of the two-year fleet size.
	churnTeams   = 620
	churnZones   = 7
	churnEntries = 6
)

// fillCommand fills the table of the platform's stand-in with a fleet of a given size and
// simulates its idle VMs, to measure the resources that idle daemons use.
type fillCommand struct {
	Platform netip.AddrPort `help:"The platform's stand-in." required:""`
	Control  netip.AddrPort `help:"Loopback address on which all VMs tell their state." required:""`
	Zones    []core.ZoneID  `help:"Availability zones." required:""`
	VMs      int            `name:"vms" help:"VMs in each zone." default:"17"`
	Out      int            `help:"VMs of each zone that failed, and stand in their pools' rows." default:"0"`
	Pools    int            `help:"Pools, each with a queue." default:"5"`
	Teams    int            `help:"Teams." default:"6"`
	Keys     int            `help:"Keys of each team; the first of team_0001 is printed." default:"3"`
	// Since matters because the controller tells VMs that recently began to serve again
	// to accept work.
	Since   time.Duration  `help:"How long ago the VMs began to serve." default:"1h"`
	Targets netip.AddrPort `help:"First address of the VMs' task services." default:"127.0.0.1:20000"`
	// Churn rewrites allotment rows as if allotments moved between entries, for teams that
	// exist only for this purpose.
	Churn float64 `help:"Moves of allotments a second, in turn over the teams." default:"0"`

	client *platform.Client
	writes []table.Write
}

// Run fills the table, prints "filled" and the first key of team_0001, and simulates the
// VMs until ctx ends.
func (c *fillCommand) Run(ctx context.Context) error {
	if err := loopbackOnly([]netip.AddrPort{c.Platform, c.Control}); err != nil {
		return err
	}
	c.client = platform.NewClient("http://" + c.Platform.String())
	c.addConfigRows()
	c.addFleetRows()
	if err := c.flush(ctx); err != nil {
		return err
	}
	fmt.Println("filled", c.key(1, 0))
	var g supervisor.Group
	g.Go(func() { _ = supervisor.Every(ctx, liveReportInterval, c.reportLive) })
	g.Go(func() { c.churn(ctx) })
	err := c.serveControl(ctx)
	g.Wait()
	return err
}

// addConfigRows adds the rows of pools, queues, teams and keys, and finally the head of the
// configuration.
func (c *fillCommand) addConfigRows() {
	for i := range c.Pools {
		c.addRow(table.PoolConfigKey(c.pool(i)), config.Pool{MaxUnavailable: 2, LendsIdle: true})
		c.addRow(table.QueueKey(core.QueueID(c.pool(i))), config.Queue{Pool: c.pool(i), Overflow: true, MaxQueued: 500})
	}
	for i := 1; i <= c.Teams; i++ {
		c.addRow(table.TeamKey(c.team(i)), config.Team{Share: 1, Limit: 200})
		for k := range c.Keys {
			c.addRow(table.KeyDigestKey(core.Digest(c.key(i, k))), config.Key{Team: c.team(i)})
		}
	}
	version := core.Version(c.Teams*(1+c.Keys) + 2*c.Pools)
	c.addRow(table.ConfigHead, config.Head{Version: version, Change: "fill"})
	// These changes have no audit records. They are marked as exported and deleted, since
	// otherwise every exporter would look for each of the missing records.
	c.addRow("export/audit", map[string]core.Version{"version": version, "deleted": version})
}

// addFleetRows adds the rows of the VMs, and the rows of the pools, which list the VMs that
// are out.
func (c *fillCommand) addFleetRows() {
	pools := make([]fleet.Pool, c.Pools)
	for i := range pools {
		pools[i].MaxUnavailable = 2
	}
	since := time.Now().Add(-c.Since)
	for _, z := range c.Zones {
		for i := range c.VMs {
			ref, pool := fleet.Ref{Zone: z, VM: vmName(z, i)}, &pools[i%c.Pools]
			vm := fleet.VM{
				Pool: c.pool(i % c.Pools), Slots: 8, Connections: 64, Since: since,
				Rack:    core.RackID(fmt.Sprintf("rack_%s_%03d", z, i/vmsPerRack)),
				Address: netip.AddrPortFrom(c.Targets.Addr(), c.Targets.Port()+uint16(i)).String(),
			}
			pool.Size, pool.Members = pool.Size+1, pool.Members+1
			if i < c.Out {
				vm.State = fleet.Failed
				pool.Out = append(pool.Out, fleet.OutVM{Ref: ref, Since: since})
			}
			c.addRow(ref.Key(), vm)
		}
	}
	for i, p := range pools {
		c.addRow(table.PoolStateKey(c.pool(i)), p)
	}
}

// addRow adds a row to the writes that flush sends.
func (c *fillCommand) addRow(key table.Key, value any) {
	var t table.Transaction
	if err := t.Set(key, value); err != nil {
		panic(err) // All values are plain structs, which can be encoded.
	}
	c.writes = append(c.writes, t.Writes...)
}

// flush writes the added rows to the table, in transactions of limited size.
func (c *fillCommand) flush(ctx context.Context) error {
	for len(c.writes) > 0 {
		n := min(rowsPerTransaction, len(c.writes))
		if err := c.client.Transact(ctx, table.Transaction{Writes: c.writes[:n]}); err != nil {
			return errors.Wrap(err, "fill the table")
		}
		c.writes = c.writes[n:]
	}
	return nil
}

// churn rewrites the two rows that the move of an allotment changes, Churn times a second,
// in one zone after the other.
func (c *fillCommand) churn(ctx context.Context) {
	if c.Churn == 0 {
		return
	}
	n := 0
	step := time.Duration(float64(time.Second) / c.Churn)
	_ = supervisor.Every(ctx, step, func(ctx context.Context) {
		team := core.TeamID(fmt.Sprintf("moves_%04d", n%churnTeams))
		zoneRow := limit.ZoneRow{Entries: make(map[core.EntryID]core.Slots)}
		for e := range churnEntries {
			zoneRow.Entries[core.EntryID(fmt.Sprintf("churn_%02d#%d", e, time.Now().UnixMilli()))] = core.Slots(1 + n%5)
		}
		teamRow := limit.TeamRow{Limit: 200, Zones: make(map[core.ZoneID]core.Slots)}
		for z := range churnZones {
			teamRow.Zones[core.ZoneID(fmt.Sprintf("zone_%d", z+1))] = zoneRow.Sum()
		}
		var t table.Transaction
		zone := c.Zones[n%len(c.Zones)]
		if t.Set(table.ZoneAllotmentKey(team, zone), zoneRow) == nil && t.Set(table.TeamAllotmentKey(team), teamRow) == nil {
			_ = c.client.Transact(ctx, t)
		}
		n++
	})
}

// reportLive reports all VMs to the platform, which keeps them on its live list.
func (c *fillCommand) reportLive(ctx context.Context) {
	var reports []standin.LiveReport
	for _, z := range c.Zones {
		for i := range c.VMs {
			reports = append(reports, standin.LiveReport{
				Liveness: platform.Liveness{Name: string(vmName(z, i)), Zone: z}, Control: "http://" + c.Control.String(),
			})
		}
	}
	body, err := json.Marshal(reports)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.client.BaseURL+"/standin/live", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, "report to the live list failed:", err)
		return
	}
	_ = resp.Body.Close()
}

// serveControl serves the control interface of all VMs, which reports each as up and idle.
func (c *fillCommand) serveControl(ctx context.Context) error {
	l, err := net.Listen("tcp", c.Control.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(standin.VMState{Up: true})
	})}
	var g supervisor.Group
	g.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	err = server.Serve(l)
	g.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

func (c *fillCommand) pool(i int) core.PoolID { return core.PoolID(fmt.Sprintf("pool_%03d", i)) }
func (c *fillCommand) team(i int) core.TeamID { return core.TeamID(fmt.Sprintf("team_%04d", i)) }
func (c *fillCommand) key(team, k int) string { return fmt.Sprintf("capacity-%04d-%d", team, k) }

func vmName(z core.ZoneID, i int) core.VMID { return core.VMID(fmt.Sprintf("vm_%s-%04d", z, i)) }
