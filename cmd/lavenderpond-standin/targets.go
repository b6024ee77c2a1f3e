package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/io/platform"
	platformstandin "lavenderpond/io/platform/standin"
	"lavenderpond/io/supervisor"
	"lavenderpond/io/target/standin"
)

// liveReportInterval is how often the VMs report to the platform that they are up.
const liveReportInterval = time.Second

type targetsCommand struct {
	Listen      netip.AddrPort `help:"Loopback address and port of the first VM; the others follow." default:"127.0.0.1:8000"`
	Count       int            `help:"Number of VMs." default:"10"`
	Zone        string         `help:"Availability zone." required:""`
	Prefix      string         `help:"Start of the VMs' names." default:"vm"`
	Slots       int            `help:"Slots per VM." default:"8"`
	Connections int            `help:"Connections per VM." default:"64"`
	Platform    string         `help:"URL of the platform's stand-in." default:"http://127.0.0.1:7000"`
	LogStarts   bool           `help:"Keep a record of all starts, readable at /control/starts."`
}

// Run serves the VMs until ctx ends.
func (c *targetsCommand) Run(ctx context.Context, log zerolog.Logger) error {
	node := supervisor.Node{Name: "targets", Log: log}
	var starts *standin.StartLog
	if c.LogStarts {
		starts = &standin.StartLog{}
	}
	var reports []platformstandin.LiveReport
	vmOutages := newOutages()
	for i := range c.Count {
		vm := &standin.VM{
			ID: core.VMID(fmt.Sprintf("%s-%03d", c.Prefix, i)), Slots: core.Slots(c.Slots), Log: starts,
		}
		address := netip.AddrPortFrom(c.Listen.Addr(), c.Listen.Port()+uint16(i))
		reports = append(reports, platformstandin.LiveReport{
			Liveness: platform.Liveness{Name: string(vm.ID), Zone: core.ZoneID(c.Zone)},
			Control:  "http://" + address.String(),
		})
		vmOutages.vms[vm.ID] = vm
		handler := c.handler(vm, starts, vmOutages)
		node.Children = append(node.Children, supervisor.Child{
			Name: string(vm.ID),
			Run: func(ctx context.Context) error {
				return vmOutages.run(ctx, vm.ID, func(ctx context.Context) error { return serve(ctx, address, handler, c.Connections) })
			},
		})
	}
	node.Children = append(node.Children, supervisor.Child{Name: "live", Run: func(ctx context.Context) error {
		return supervisor.Every(ctx, liveReportInterval, func(ctx context.Context) { c.reportLive(ctx, vmOutages.liveReports(reports), log) })
	}})
	log.Info().Stringer("listen", c.Listen).Int("count", c.Count).Str("zone", c.Zone).Msg("serving targets")
	return node.Run(ctx)
}

func (c *targetsCommand) handler(vm *standin.VM, starts *standin.StartLog, vmOutages *outages) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/tasks/", vm.Handler())
	mux.Handle("/control/", (&standin.Control{VM: vm}).Handler())
	mux.HandleFunc("POST /control/outage", vmOutages.handleOutage)
	if starts != nil {
		mux.HandleFunc("GET /control/starts", func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(starts.Starts())
		})
	}
	return mux
}

// reportLive reports the VMs to the platform, which keeps them on its live list.
func (c *targetsCommand) reportLive(ctx context.Context, reports []platformstandin.LiveReport, log zerolog.Logger) {
	body, err := json.Marshal(reports)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Platform+"/standin/live", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		log.Warn().Err(err).Msg("report to the live list failed")
		return
	}
	_ = resp.Body.Close()
}
