package node

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"hash/fnv"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/platform"
)

// Tables and keys of the rows that lavenderpond stores. What the owner writes is in one
// partition, so that one transaction can check the owner and write the progress of many
// jobs. Submitted jobs are spread over partitions by ID. A partition applies one
// transaction after another, and when the table is slow, the submissions alone would fill
// a single partition and keep the owner from renewing its ownership. At 140 ms per
// transaction, 90 submissions a second load 16 partitions to 80%, so that calls queue, are
// abandoned and are sent again. 64 partitions are loaded to 20%.
const (
	mainPartition     = "main"
	jobPartitionCount = 64
	ownerTable        = "lavenderpond_owner"
	jobTable          = "lavenderpond_job"
	progressTable     = "lavenderpond_progress"
	waveTable         = "lavenderpond_wave"
	vmTable           = "lavenderpond_vm"
	machineOrderTable = "lavenderpond_machine"
	shareTable        = "lavenderpond_share"
	runTimeTable      = "lavenderpond_run_time"

	ownerKeyName   = "owner"
	renewalKeyName = "renewal"
	// forecastKeyName sorts between the two, so that a poll of the owner's rows reads the
	// forecast too.
	forecastKeyName = "pools"

	// Suffixes of a job's keys: the submitted job and its cancellation.
	jobSuffix    = "/job"
	cancelSuffix = "/cancel"
)

var (
	ownerKey   = platform.RowKey{Table: ownerTable, Partition: mainPartition, Key: ownerKeyName}
	renewalKey = platform.RowKey{Table: ownerTable, Partition: mainPartition, Key: renewalKeyName}
	// forecastKey holds the admission.Forecast of the owner.
	forecastKey = platform.RowKey{Table: ownerTable, Partition: mainPartition, Key: forecastKeyName}
)

// jobPartition returns the partition of a job's rows. The partition depends only on the
// ID.
func jobPartition(id job.ID) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Writing to a hash never fails.
	return jobPartitionName(int(h.Sum32() % jobPartitionCount))
}

func jobPartitionName(n int) string { return "j" + strconv.Itoa(n) }

func jobKey(id job.ID) platform.RowKey {
	return platform.RowKey{Table: jobTable, Partition: jobPartition(id), Key: string(id) + jobSuffix}
}

func cancelKey(id job.ID) platform.RowKey {
	return platform.RowKey{Table: jobTable, Partition: jobPartition(id), Key: string(id) + cancelSuffix}
}

func waveKey(number int64) platform.RowKey {
	return platform.RowKey{Table: waveTable, Partition: mainPartition, Key: strconv.FormatInt(number, 10)}
}

// vmKey returns the key of the row of a VM on which tasks may run.
func vmKey(id job.VMID) platform.RowKey {
	return platform.RowKey{Table: vmTable, Partition: mainPartition, Key: string(id)}
}

// machineOrderKey returns the key of the row that records a machine's latest order.
func machineOrderKey(id job.MachineID) platform.RowKey {
	return platform.RowKey{Table: machineOrderTable, Partition: mainPartition, Key: string(id)}
}

// shareKey returns the key of the row of what accounts have held in a pool.
func shareKey(p job.PoolName) platform.RowKey {
	return platform.RowKey{Table: shareTable, Partition: mainPartition, Key: string(p)}
}

// runTimeKey returns the key of the row of what is known of a queue's run times.
func runTimeKey(n job.QueueName) platform.RowKey {
	return platform.RowKey{Table: runTimeTable, Partition: mainPartition, Key: string(n)}
}

func progressKey(id job.ID) platform.RowKey {
	return platform.RowKey{Table: progressTable, Partition: mainPartition, Key: string(id)}
}

// ownerRow identifies the process that owns the fleet's jobs and VMs.
type ownerRow struct {
	Node string `json:"node"`
	// RunID identifies one run of the node's process.
	RunID string `json:"life"`
	// TenureNumber counts the takeovers. Attempts are numbered from it.
	TenureNumber int64 `json:"turn"`
	// TakenOverAt is the table's time of the takeover, or shortly before it; 0 in rows of older releases.
	TakenOverAt tableTime `json:"taken_over_ms,omitempty"`
	// Resumed is set if the former owner was a previous run of the same node.
	Resumed bool `json:"resumed,omitempty"`
	// Vacant is set when the owner has given up its ownership.
	Vacant bool `json:"vacant,omitempty"`
	// LeaseMS is the longest lease that the owner grants to VMs, in milliseconds; 0 in rows of
	// releases that grant what VMs allow and don't store the leases of VMs out of reach.
	LeaseMS int64 `json:"lease_ms,omitempty"`
}

// renewalRow changes with each of the owner's transactions.
type renewalRow struct {
	RunID string `json:"life"`
	Batch int64  `json:"batch"`
	// Counted is set once the owner has counted the backlog. A new owner renews its
	// ownership before it has read the jobs.
	Counted bool `json:"counted,omitempty"`
	// Backlog is the number of jobs per queue that haven't begun.
	Backlog map[job.QueueName]int `json:"backlog,omitempty"`
	// Entries is the number of entry VMs known to the owner.
	Entries int `json:"entries,omitempty"`
	// MemoryMB is the memory that the owner's process needs.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Full is set while the owner can't take further jobs.
	Full bool `json:"full,omitempty"`
}

// compressionThreshold is the size in bytes from which a row is compressed: half of the
// 64 KiB that a row may have on the known deployments.
const compressionThreshold = 32 << 10

// gzipMagic is the prefix of compressed rows. Uncompressed ones begin with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// encodeRow returns a row's value as JSON. Large values are compressed: a job of hundreds
// of steps, which callers may submit, exceeds the limit of a row, and the table would
// refuse it after the caller had been kept waiting.
func encodeRow(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil || len(b) < compressionThreshold {
		return b, errors.Wrap(err, "encode row")
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress row")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress row")
	}
	return out.Bytes(), nil
}

// decompress returns the uncompressed value of a row.
func decompress(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, gzipMagic) {
		return b, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "decompress row")
	}
	out, err := io.ReadAll(r)
	return out, errors.Wrap(err, "decompress row")
}

func decodeRow[T any](r *platform.Row) (T, error) {
	var v T
	if r == nil {
		return v, nil
	}
	b, err := decompress(r.Value)
	if err == nil {
		err = json.Unmarshal(b, &v)
	}
	return v, errors.Wrapf(err, "row %s/%s", r.Table, r.Key)
}
