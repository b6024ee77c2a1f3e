package main

import (
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type zonesCmd struct {
	AttestDown zonesAttestDownCmd `cmd:"" help:"State that nothing of the zone runs any more, so that its allotments go to others. If something does run, upper limits may break."`
	AttestUp   zonesAttestUpCmd   `cmd:"" help:"State that the zone is back."`
}

type zonesAttestDownCmd struct {
	Zone   string `arg:"" help:"Zone that is down."`
	Reason string `help:"How it is known; the monitor reads it. Needed."`
}

// Run records an operator's statement that a zone is down.
func (c zonesAttestDownCmd) Run(a *app) error { return attest(a, c.Zone, c.Reason, true) }

type zonesAttestUpCmd struct {
	Zone   string `arg:"" help:"Zone that is back."`
	Reason string `help:"How it is known; the monitor reads it. Needed."`
}

// Run records an operator's statement that a zone is back.
func (c zonesAttestUpCmd) Run(a *app) error { return attest(a, c.Zone, c.Reason, false) }

func attest(a *app, zone, reason string, down bool) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_AttestZone{
		AttestZone: &pb.AttestZone{Zone: zone, Reason: reason, Down: down},
	}})
}
