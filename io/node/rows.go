package node

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/platform"
)

// Tables and keys of lavenderpond's own rows. All lie in one part, so that one
// transaction can check the owner and write a job.
const (
	part          = "main"
	ownerTable    = "lavenderpond_owner"
	jobTable      = "lavenderpond_job"
	progressTable = "lavenderpond_progress"

	ownerKeyName   = "owner"
	renewalKeyName = "renewal"
	rosterKeyName  = "roster"

	// Suffixes of a job's keys: the job as handed in, and its cancellation.
	jobSuffix    = "/job"
	cancelSuffix = "/cancel"
)

var (
	ownerKey   = platform.RowKey{Table: ownerTable, Part: part, Key: ownerKeyName}
	renewalKey = platform.RowKey{Table: ownerTable, Part: part, Key: renewalKeyName}
	rosterKey  = platform.RowKey{Table: ownerTable, Part: part, Key: rosterKeyName}
)

func jobKey(id job.ID) platform.RowKey {
	return platform.RowKey{Table: jobTable, Part: part, Key: string(id) + jobSuffix}
}

func cancelKey(id job.ID) platform.RowKey {
	return platform.RowKey{Table: jobTable, Part: part, Key: string(id) + cancelSuffix}
}

func progressKey(id job.ID) platform.RowKey {
	return platform.RowKey{Table: progressTable, Part: part, Key: string(id)}
}

// ownerRow says which process owns the fleet's jobs and VMs.
type ownerRow struct {
	Node string `json:"node"`
	// Life tells apart the processes of one node.
	Life string `json:"life"`
	// Turn counts the take-overs; attempts are numbered from it.
	Turn int64 `json:"turn"`
	// Vacant is set when the owner has given its right back.
	Vacant bool `json:"vacant,omitempty"`
}

// renewalRow changes with each of the owner's transactions.
type renewalRow struct {
	Life  string `json:"life"`
	Batch int64  `json:"batch"`
	// Backlog counts the jobs of each queue that haven't begun.
	Backlog map[job.QueueName]int `json:"backlog,omitempty"`
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, errors.Wrap(err, "encode row")
}

func decodeRow[T any](r *platform.Row) (T, error) {
	var v T
	if r == nil {
		return v, nil
	}
	err := json.Unmarshal(r.Value, &v)
	return v, errors.Wrapf(err, "row %s/%s", r.Table, r.Key)
}
