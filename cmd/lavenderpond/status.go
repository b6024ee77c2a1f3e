package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type statusCmd struct{}

// Run lists the status of every entry that is known to the entries asked. A status that an
// entry reports of itself or of an entry that it reached takes precedence over a report
// that the entry is unreachable.
func (statusCmd) Run(a *app) error {
	replies, err := askAll(a, operatorClient.FleetStatus, &pb.FleetStatusRequest{})
	if err != nil {
		return err
	}
	merged := &pb.FleetStatusReply{}
	entries := map[string]*pb.EntryStatus{}
	for _, r := range replies {
		if r.err != nil {
			a.warnf("entry %s: %v\n", r.address, entryError(r.err))
			continue
		}
		merged.Version = max(merged.Version, r.value.Version)
		for _, e := range r.value.Entries {
			key := e.Zone + "/" + e.Entry
			if old := entries[key]; old == nil || !old.Reachable {
				entries[key] = e
			}
		}
	}
	unreached := 0
	for _, e := range entries {
		merged.Entries = append(merged.Entries, e)
		if !e.Reachable {
			unreached++
		}
	}
	sort.Slice(merged.Entries, func(i, j int) bool { return entryLess(merged.Entries[i], merged.Entries[j]) })
	if err := a.show(merged, statusGrid(a.now(), merged)); err != nil {
		return err
	}
	if unreached > 0 {
		return failf(exitPartlyConfirmed, "%d of %d entries gave no answer to any entry that was asked", unreached, len(entries))
	}
	return nil
}

func entryLess(a, b *pb.EntryStatus) bool {
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	return a.Entry < b.Entry
}

func statusGrid(now time.Time, m *pb.FleetStatusReply) grid {
	var g grid
	g.add("ZONE", "ENTRY", "REACHABLE", "VERSION", "KEYS CHECKED", "SHARDS", "RUNNING", "QUEUED")
	for _, e := range m.Entries {
		if !e.Reachable {
			g.add(e.Zone, e.Entry, "no", "?", "?", "?", "?", "?")
			continue
		}
		checked := "never"
		if e.KeysFreshAt != nil {
			checked = now.Sub(e.KeysFreshAt.AsTime()).Round(time.Second).String() + " ago"
		}
		g.add(e.Zone, e.Entry, "yes", e.Version, checked, e.Shards, e.Running, e.Queued)
	}
	return g
}

type whereCmd struct {
	Version uint64 `arg:"" help:"Configuration version, as a change prints it."`
}

// Run lists the entries at which a configuration version is in force.
func (c whereCmd) Run(a *app) error {
	replies, err := askAll(a, operatorClient.Where, &pb.WhereRequest{Version: c.Version})
	if err != nil {
		return err
	}
	var confirmations confirmationSet
	for _, reply := range replies {
		if reply.err != nil {
			confirmations.addUnreached(reply.address, reply.err)
			continue
		}
		confirmations.add(reply.value.Confirmations)
	}
	if err := a.show(&pb.WhereReply{Confirmations: confirmations.list()}, confirmations.grid()); err != nil {
		return err
	}
	return confirmations.unconfirmedError(fmt.Sprintf("version %d", c.Version))
}

type dumpCmd struct{}

// Run prints a JSON object that maps the address of each entry to its state.
func (dumpCmd) Run(a *app) error {
	replies, err := askAll(a, operatorClient.Dump, &pb.DumpRequest{})
	if err != nil {
		return err
	}
	states := map[string]json.RawMessage{}
	failed := 0
	for _, r := range replies {
		if r.err != nil {
			a.warnf("entry %s: %v\n", r.address, entryError(r.err))
			failed++
			continue
		}
		states[r.address] = json.RawMessage(r.value.Json)
	}
	data, err := json.MarshalIndent(states, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode dumps")
	}
	a.printf("%s\n", data)
	if failed > 0 {
		return failf(exitPartlyConfirmed, "%d of %d entries were not reached", failed, len(replies))
	}
	return nil
}
