// Package platform accesses the cloud platform: its transactional table, its object
// store, its list of live VMs and its control of VMs, over HTTP with JSON. It also
// contains the loops that keep a daemon in step with the platform: ConfigWatcher,
// FleetWatcher, Controller and Allotments.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Table is the platform's transactional table. Its errors are table.ErrConflict,
// table.ErrOutcomeUnknown and table.ErrUnreachable, possibly wrapped.
type Table interface {
	// Read returns the row under key. Its Version is 0 if there is no such row.
	Read(ctx context.Context, key table.Key) (table.Row, error)
	// Scan returns the rows under prefix and the revision at which they were read.
	Scan(ctx context.Context, prefix string) ([]table.Row, table.Revision, error)
	// Changes returns the rows under prefix that changed after since, and the revision to
	// pass to the next call. Deleted rows have Version 0.
	Changes(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error)
	// Transact applies t as a whole or not at all.
	Transact(ctx context.Context, t table.Transaction) error
}

// ErrObjectNotFound means that the object store answered that it has no object of the
// given name. It isn't an outage, so a retry doesn't help.
var ErrObjectNotFound = errors.New("object store: no such object")

// Objects is the platform's object store. The monitor reads it.
type Objects interface {
	// Put stores data under name and replaces an existing object.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object. It returns ErrObjectNotFound if the store has no object of
	// that name, or table.ErrUnreachable if the store can't be reached, possibly wrapped.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Liveness is the record of one VM in the platform's live list. The VM runs a target or
// an entry.
type Liveness struct {
	Name    string      `json:"name"`
	Zone    core.ZoneID `json:"zone"`
	Leaving bool        `json:"leaving,omitempty"`
	// Started distinguishes successive runs of an entry's daemon. It is zero for targets.
	Started time.Time `json:"started,omitzero"`
}

// LiveList is the platform's list of VMs that are live or leaving. The list lags behind
// the actual state.
type LiveList interface {
	// Live returns the VMs of zone that are live or leaving. A VM that was listed before
	// and is missing now is gone permanently.
	Live(ctx context.Context, zone core.ZoneID) ([]Liveness, error)
}
