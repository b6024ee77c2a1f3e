// Package config holds the operators' configuration as rows of the platform's
// table, the view that an entry has of it, and the changes to it.
package config

import (
	"time"

	"lavenderpond/core"
)

// Team is a team's row.
type Team struct {
	// Share is the team's weight when the fleet is full, relative to others.
	Share int `json:"share"`
	// Limit is the most slots that the team may use at once, fleet-wide.
	Limit core.Slots `json:"limit"`
}

// Pool is a pool's row of settings.
type Pool struct {
	// MaxUnavailable is the availability budget: the most VMs of the pool that
	// may be out at once, planned and unplanned together.
	MaxUnavailable int `json:"max_unavailable"`
	// Spare marks the pool whose VMs repair others.
	Spare bool `json:"spare,omitempty"`
	// LendsIdle lets other queues' requests run in the pool's idle slots.
	LendsIdle bool `json:"lends_idle,omitempty"`
}

// Queue is a queue's row.
type Queue struct {
	Pool core.PoolID `json:"pool"`
	// Overflow lets requests run in idle slots of pools that lend them.
	Overflow bool `json:"overflow,omitempty"`
	// MaxQueued bounds the requests that wait at one entry.
	MaxQueued int `json:"max_queued"`
}

// Defaults is the row of fleet-wide defaults, for teams, pools and queues whose
// own rows leave a value at zero.
type Defaults struct {
	Share          int        `json:"share"`
	Limit          core.Slots `json:"limit"`
	MaxUnavailable int        `json:"max_unavailable"`
	MaxQueued      int        `json:"max_queued"`
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int `json:"max_body"`
}

// Exception is an exception from the defaults, for the monitor to read.
type Exception struct {
	// Scope is the key of the row that the exception changes.
	Scope  string    `json:"scope"`
	Reason string    `json:"reason"`
	Author string    `json:"author"`
	End    time.Time `json:"end"`
	// Value replaces the row's value until End.
	Value map[string]int `json:"value"`
}

// Head is the row that orders all changes.
type Head struct {
	Version core.Version  `json:"version"`
	Change  core.ChangeID `json:"change"`
}

// Key is the row of a team key, stored under its digest.
type Key struct {
	Team core.TeamID `json:"team"`
	// Withdrawn never goes back to false: a withdrawal is final.
	Withdrawn bool `json:"withdrawn,omitempty"`
}
