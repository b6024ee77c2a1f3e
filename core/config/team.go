// Package config defines the configuration that operators set: its rows in the platform's
// table, an entry's view of the rows, and the changes that operators make.
package config

import (
	"time"

	"lavenderpond/core"
)

// Team is the row of a team, a client account.
type Team struct {
	// Share is the team's weight relative to other teams when the fleet is full.
	Share int `json:"share"`
	// Limit is the maximum number of slots that the team may use at the same time, fleet-wide.
	Limit core.Slots `json:"limit"`
}

// Pool is the row that holds a pool's settings.
type Pool struct {
	// MaxUnavailable is the availability budget: the maximum number of VMs of the pool
	// that may be unavailable at the same time, planned and unplanned together.
	MaxUnavailable int `json:"max_unavailable"`
	// Spare marks the pool whose VMs replace failed VMs of other pools.
	Spare bool `json:"spare,omitempty"`
	// LendsIdle lets requests of other pools' queues run in the pool's idle slots.
	LendsIdle bool `json:"lends_idle,omitempty"`
}

// Queue is the row that holds a queue's settings.
type Queue struct {
	Pool core.PoolID `json:"pool"`
	// Overflow lets the queue's requests run in idle slots of pools with LendsIdle.
	Overflow bool `json:"overflow,omitempty"`
	// MaxQueued is the maximum number of the queue's requests that wait at one entry.
	MaxQueued int `json:"max_queued"`
}

// Defaults is the row of fleet-wide defaults. They apply to teams, pools and queues whose
// own rows have a zero value.
type Defaults struct {
	Share          int        `json:"share"`
	Limit          core.Slots `json:"limit"`
	MaxUnavailable int        `json:"max_unavailable"`
	MaxQueued      int        `json:"max_queued"`
	// MaxBody is the maximum size of a request's body, in bytes.
	MaxBody int `json:"max_body"`
}

// Exception is the row of a temporary deviation from the settings. The monitor reads it.
type Exception struct {
	// Scope is the key of the row whose values the exception replaces.
	Scope  string    `json:"scope"`
	Reason string    `json:"reason"`
	Author string    `json:"author"`
	End    time.Time `json:"end"`
	// Value holds the replaced settings by name. They apply until End.
	Value map[string]int `json:"value"`
}

// Head is the row that orders all configuration changes. Each change increments Version.
type Head struct {
	Version core.Version  `json:"version"`
	Change  core.ChangeID `json:"change"`
}

// Key is the row of a team key. It is stored under the key's digest.
type Key struct {
	Team core.TeamID `json:"team"`
	// Withdrawn is never reset: a withdrawal is final.
	Withdrawn bool `json:"withdrawn,omitempty"`
}
