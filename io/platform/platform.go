// Package platform speaks to the platform: its transactional table, its object
// store and its list of live VMs, over HTTP with JSON.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Table is the platform's transactional table. Errors are table.ErrConflict,
// table.ErrOutcomeUnknown and table.ErrUnreachable, possibly wrapped.
type Table interface {
	// Read returns the row of key, with Version 0 if there is none.
	Read(ctx context.Context, key table.Key) (table.Row, error)
	// Scan returns the rows under prefix and the revision they were read at.
	Scan(ctx context.Context, prefix string) ([]table.Row, table.Revision, error)
	// Changes returns the rows under prefix that changed after since, deleted ones
	// with Version 0, and the revision to ask from next time.
	Changes(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error)
	// Transact applies t as a whole or not at all.
	Transact(ctx context.Context, t table.Transaction) error
}

// ErrObjectNotFound is the object store's own word that it has no object of the name. It is
// no outage: asking again doesn't help.
var ErrObjectNotFound = errors.New("object store: no such object")

// Objects is the platform's object store. The monitor reads it.
type Objects interface {
	// Put stores data under name, replacing what was there.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, ErrNoObject if the store has none of that name, or
	// table.ErrUnreachable if it can't be reached. Both errors may be wrapped.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Liveness is what the platform's list says of one VM, target or entry.
type Liveness struct {
	Name    string      `json:"name"`
	Zone    core.ZoneID `json:"zone"`
	Leaving bool        `json:"leaving,omitempty"`
	// Started tells runs of an entry's daemon apart; zero for targets.
	Started time.Time `json:"started,omitzero"`
}

// LiveList is the platform's list of live and leaving VMs. It lags.
type LiveList interface {
	// Live returns the VMs of zone that are live or leaving. A VM that was listed
	// and no longer is has gone for good.
	Live(ctx context.Context, zone core.ZoneID) ([]Liveness, error)
}
