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

// Tables and keys of lavenderpond's own rows. What the owner writes lies in one
// part, so that one transaction can check the owner and write many jobs'
// progress. Jobs as handed in are spread over parts by their ID: a part carries
// out one transaction after another, and when the table is slow the submissions
// alone would fill a single one and keep the owner from renewing its right. With
// 140 ms for a transaction, 90 submissions a second fill 16 parts to 80%, so that
// calls queue, are given up and are sent again; 64 parts are filled to 20%.
const (
	mainPart          = "main"
	jobPartCount      = 64
	ownerTable        = "lavenderpond_owner"
	jobTable          = "lavenderpond_job"
	progressTable     = "lavenderpond_progress"
	waveTable         = "lavenderpond_wave"
	vmTable           = "lavenderpond_vm"
	machineOrderTable = "lavenderpond_machine"

	ownerKeyName   = "owner"
	renewalKeyName = "renewal"

	// Suffixes of a job's keys: the job as handed in, and its cancellation.
	jobSuffix    = "/job"
	cancelSuffix = "/cancel"
)

var (
	ownerKey   = platform.RowKey{Table: ownerTable, Part: mainPart, Key: ownerKeyName}
	renewalKey = platform.RowKey{Table: ownerTable, Part: mainPart, Key: renewalKeyName}
)

// jobPart returns the part of a job's rows. It depends on nothing but the ID.
func jobPart(id job.ID) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // A hash never fails.
	return jobPartName(int(h.Sum32() % jobPartCount))
}

func jobPartName(n int) string { return "j" + strconv.Itoa(n) }

func jobKey(id job.ID) platform.RowKey {
	return platform.RowKey{Table: jobTable, Part: jobPart(id), Key: string(id) + jobSuffix}
}

func cancelKey(id job.ID) platform.RowKey {
	return platform.RowKey{Table: jobTable, Part: jobPart(id), Key: string(id) + cancelSuffix}
}

func waveKey(number int64) platform.RowKey {
	return platform.RowKey{Table: waveTable, Part: mainPart, Key: strconv.FormatInt(number, 10)}
}

// vmKey names the row that says that tasks may run on a VM.
func vmKey(id job.VMID) platform.RowKey {
	return platform.RowKey{Table: vmTable, Part: mainPart, Key: string(id)}
}

// machineOrderKey names the row that says that a machine has been given an order of late.
func machineOrderKey(id job.MachineID) platform.RowKey {
	return platform.RowKey{Table: machineOrderTable, Part: mainPart, Key: string(id)}
}

func progressKey(id job.ID) platform.RowKey {
	return platform.RowKey{Table: progressTable, Part: mainPart, Key: string(id)}
}

// ownerRow says which process owns the fleet's jobs and VMs.
type ownerRow struct {
	Node string `json:"node"`
	// Life tells apart the processes of one node.
	Life string `json:"life"`
	// TenureNumber counts the take-overs; attempts are numbered from it.
	TenureNumber int64 `json:"turn"`
	// Vacant is set when the owner has given its right back.
	Vacant bool `json:"vacant,omitempty"`
}

// renewalRow changes with each of the owner's transactions.
type renewalRow struct {
	Life  string `json:"life"`
	Batch int64  `json:"batch"`
	// Counted is set once the owner has counted: a new one renews its right before
	// it has read the jobs.
	Counted bool `json:"counted,omitempty"`
	// Backlog counts the jobs of each queue that haven't begun.
	Backlog map[job.QueueName]int `json:"backlog,omitempty"`
	// Entries is the number of entry VMs, as far as the owner knows.
	Entries int `json:"entries,omitempty"`
}

// waveRow lists the machines of a wave that have had their upkeep.
type waveRow struct {
	Done []job.MachineID `json:"done"`
}

// compressionThreshold is the size, in bytes, from which a row is compressed: half of what
// the table takes on all deployments so far.
const compressionThreshold = 32 << 10

// gzipMagic is how compressed rows begin; plain ones begin with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// encodeRow returns a row's value. Large ones are compressed: a job of hundreds of
// steps, which callers may hand in, is beyond what a row holds, and the table would
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

// decompress returns the value of a row as it was before compression.
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
