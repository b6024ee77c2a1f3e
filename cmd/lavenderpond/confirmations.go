package main

import (
	"sort"
	"strings"

	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// confirmationSet merges the reports of several entries on where a change is in force.
// An entry counts as confirmed if any report confirms it. The zero value is an empty set.
type confirmationSet struct {
	// entries is keyed by zone and entry, separated by a slash.
	entries map[string]*pb.Confirmation
}

func (r *confirmationSet) add(list []*pb.Confirmation) {
	if r.entries == nil {
		r.entries = map[string]*pb.Confirmation{}
	}
	for _, c := range list {
		key := c.Zone + "/" + c.Entry
		if old := r.entries[key]; old == nil || !old.Confirmed {
			r.entries[key] = c
		}
	}
}

// addUnreached records an address that gave no answer. It counts as an unconfirmed entry
// of its own, even if other entries report the entry at that address under its name.
func (r *confirmationSet) addUnreached(address string, err error) {
	r.add([]*pb.Confirmation{{Entry: address, Detail: "not reached by this command: " + entryError(err).Error()}})
}

// list returns the confirmations, sorted by zone and entry.
func (r *confirmationSet) list() []*pb.Confirmation {
	list := make([]*pb.Confirmation, 0, len(r.entries))
	for _, c := range r.entries {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Zone != list[j].Zone {
			return list[i].Zone < list[j].Zone
		}
		return list[i].Entry < list[j].Entry
	})
	return list
}

func (r *confirmationSet) grid() grid {
	var g grid
	g.add("ZONE", "ENTRY", "IN FORCE", "DETAIL")
	for _, c := range r.list() {
		state := "yes"
		if !c.Confirmed {
			state = "not confirmed"
		}
		g.add(c.Zone, c.Entry, state, c.Detail)
	}
	return g
}

// unconfirmedError returns an error that lists the zones with entries that did not
// confirm, or nil if all entries did. The argument what names the change in the text.
func (r *confirmationSet) unconfirmedError(what string) error {
	seen := map[string]bool{}
	var zones []string
	for _, c := range r.list() {
		zone := c.Zone
		if zone == "" {
			zone = c.Entry
		}
		if !c.Confirmed && !seen[zone] {
			seen[zone] = true
			zones = append(zones, zone)
		}
	}
	if len(zones) == 0 {
		return nil
	}
	return failf(exitPartlyConfirmed, "%s can't be confirmed everywhere in %s", what, strings.Join(zones, ", "))
}

// countZones returns the number of zones with at least one entry that confirmed, and the number
// of all zones.
func (r *confirmationSet) countZones() (confirming, all int) {
	zones := map[string]bool{}
	for _, c := range r.list() {
		if c.Zone != "" {
			zones[c.Zone] = zones[c.Zone] || c.Confirmed
		}
	}
	for _, confirmed := range zones {
		if confirmed {
			confirming++
		}
	}
	return confirming, len(zones)
}
