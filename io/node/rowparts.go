package node

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/platform"
)

// partInfix separates the key of a divided row from the number of a part in the part's key.
const partInfix = "/part/"

// dividedRow is the value of a row whose real value exceeds the table's limit on a row. The parts of
// that value are in rows of their own, which are written in the same transaction.
type dividedRow struct {
	Parts int `json:"parts"`
	// State is the state of the job whose progress is divided. It lets entry VMs show the job
	// without reading the parts.
	State job.State `json:"state,omitempty"`
}

// dividedPrefix is the prefix of the value of a dividedRow, and of no other row.
var dividedPrefix = []byte(`{"parts":`)

// partKey returns the key of part n of a divided row, counted from 0.
func partKey(k platform.RowKey, n int) platform.RowKey {
	k.Key = fmt.Sprintf("%s%s%04d", k.Key, partInfix, n)
	return k
}

// parsePartKey returns the key of the divided row and the number of the part if k is the key of a
// part.
func parsePartKey(k platform.RowKey) (divided platform.RowKey, n int, isPart bool) {
	i := strings.LastIndex(k.Key, partInfix)
	if i < 0 {
		return k, 0, false
	}
	n, err := strconv.Atoi(k.Key[i+len(partInfix):])
	k.Key = k.Key[:i]
	return k, n, err == nil
}

// stateOf returns the job's state if the value of a row is a job's progress.
func stateOf(value any) job.State {
	if r, ok := value.(progressRow); ok {
		return r.State
	}
	return job.Pending
}

// divide replaces the write of a row beyond maxBytes by those of a dividedRow and its parts.
func divide(k platform.RowKey, value []byte, state job.State, maxBytes int) ([]platform.Write, error) {
	parts := slices.Collect(slices.Chunk(value, maxBytes))
	header, err := encodeRow(dividedRow{Parts: len(parts), State: state})
	if err != nil {
		return nil, err
	}
	writes := []platform.Write{{RowKey: k, Value: header}}
	for i, p := range parts {
		writes = append(writes, platform.Write{RowKey: partKey(k, i), Value: p})
	}
	return writes, nil
}

// joinParts returns the rows of a table with the values of divided rows joined and without the parts,
// and the number of parts of each divided row. It fails if a part is missing.
func joinParts(rows []platform.Row) (joined []platform.Row, parts map[platform.RowKey]int, err error) {
	parts = map[platform.RowKey]int{}
	for i := range rows {
		if bytes.HasPrefix(rows[i].Value, dividedPrefix) {
			parts[rows[i].RowKey] = 0
		}
	}
	values := map[platform.RowKey][]byte{}
	for i := range rows {
		k, _, isPart := parsePartKey(rows[i].RowKey)
		if _, divided := parts[k]; isPart && divided {
			values[rows[i].RowKey] = rows[i].Value
			parts[k]++
			continue
		}
		joined = append(joined, rows[i])
	}
	for i := range joined {
		if _, divided := parts[joined[i].RowKey]; !divided {
			continue
		}
		if joined[i].Value, err = joinValue(&joined[i], values); err != nil {
			return nil, nil, err
		}
	}
	return joined, parts, nil
}

// joinValue returns the value of a divided row, whose parts are in values by their keys.
func joinValue(r *platform.Row, values map[platform.RowKey][]byte) ([]byte, error) {
	header, err := decodeRow[dividedRow](r)
	if err != nil {
		return nil, err
	}
	var out []byte
	for n := range header.Parts {
		part, ok := values[partKey(r.RowKey, n)]
		if !ok {
			return nil, errors.Errorf("row %s/%s lacks part %d of %d", r.Table, r.Key, n, header.Parts)
		}
		out = append(out, part...)
	}
	return out, nil
}
