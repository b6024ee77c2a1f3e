package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type maintenanceCmd struct {
	Status maintenanceStatusCmd `cmd:"" help:"Show each zone's maintenance."`
	Plan   maintenancePlanCmd   `cmd:"" help:"Make every VM of a zone due by a deadline; starts nothing."`
	Start  maintenanceStartCmd  `cmd:"" help:"Start what is planned, or resume what is paused or halted."`
	Pause  maintenancePauseCmd  `cmd:"" help:"Take no further VMs out; drains under way are finished."`
}

type maintenanceStatusCmd struct{}

// Run lists the maintenance wave of each zone.
func (maintenanceStatusCmd) Run(a *app) error {
	reply, err := askAny(a, operatorClient.MaintenanceStatus, &pb.MaintenanceStatusRequest{})
	if err != nil {
		return err
	}
	var g grid
	g.add("ZONE", "STATUS", "WAVE", "DEADLINE", "MAINTAINED", "OUT", "FAILED", "NOT BACK", "LATE", "AUTHOR", "REASON")
	for _, w := range reply.Waves {
		g.add(w.Zone, w.Status, w.Number, formatTime(w.Deadline), fmt.Sprintf("%d of %d", w.Maintained, w.Total), w.Out, w.Failed,
			fmt.Sprintf("%d of at most %d", w.NotBack, w.MaxNotBack), w.Late, w.Author, w.Reason)
	}
	return a.show(reply, g)
}

type maintenancePlanCmd struct {
	Zone       string    `arg:"" help:"Zone to maintain."`
	Deadline   time.Time `required:"" help:"When every VM must have been maintained, as 2026-12-24T18:00:00Z."`
	MaxNotBack int32     `help:"How many VMs may fail to come back before the wave halts; 0 is the default."`
	Reason     string    `help:"Why, for the record."`
}

// Run plans the maintenance of a zone.
func (c maintenancePlanCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_PlanMaintenance{PlanMaintenance: &pb.PlanMaintenance{
		Zone: c.Zone, Deadline: timestamppb.New(c.Deadline), MaxNotBack: c.MaxNotBack, Reason: c.Reason,
	}}})
}

type maintenanceStartCmd struct {
	Zone   string `arg:"" help:"Zone to maintain."`
	Reason string `help:"Why, for the record."`
}

// Run starts or resumes the maintenance of a zone.
func (c maintenanceStartCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_StartMaintenance{
		StartMaintenance: &pb.StartMaintenance{Zone: c.Zone, Reason: c.Reason},
	}})
}

type maintenancePauseCmd struct {
	Zone   string `arg:"" help:"Zone to pause."`
	Reason string `help:"Why, for the record."`
}

// Run pauses the maintenance of a zone.
func (c maintenancePauseCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_PauseMaintenance{
		PauseMaintenance: &pb.PauseMaintenance{Zone: c.Zone, Reason: c.Reason},
	}})
}
