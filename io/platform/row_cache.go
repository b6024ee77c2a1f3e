package platform

import (
	"strings"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// rowCodec tells how rows of a kind are decoded.
type rowCodec[T any] struct {
	decode  func(table.Row) (T, error)
	version func(*T) core.Version
}

// The decoded rows leave out the JSON: transactions need only key and version.
var (
	vmRowCodec = rowCodec[fleet.VMRow]{
		decode: func(row table.Row) (fleet.VMRow, error) {
			vm, err := fleet.DecodeVM(row)
			vm.Row.Value = nil
			return vm, err
		},
		version: func(vm *fleet.VMRow) core.Version { return vm.Row.Version },
	}
	poolRowCodec = rowCodec[fleet.PoolRow]{
		decode: func(row table.Row) (fleet.PoolRow, error) {
			pool, err := fleet.DecodePool(row)
			pool.Row.Value = nil
			return pool, err
		},
		version: func(pool *fleet.PoolRow) core.Version { return pool.Row.Version },
	}
)

// rowCache follows the rows under a prefix by their changes, so that a poll
// costs what changed and not what stands there. A row that can't be decoded is
// left out, so that one bad row doesn't stop a zone's maintenance.
type rowCache[T any] struct {
	prefix   string
	revision table.Revision
	// rows are replaced when they change, and never changed themselves.
	rows map[table.Key]*T
	// undecodable holds the rows that could not be decoded.
	undecodable map[table.Key]error
}

// put takes in a row and returns it decoded, or false if that changes nothing.
//
// A poll's answer may be older than a write of this daemon that was applied while
// it was under way. Taken in, it would undo the write until the next poll, and a
// controller would decide on it. The versions of a key never fall, so they tell.
func (c *rowCache[T]) update(row table.Row, codec rowCodec[T]) (*T, bool) {
	if c.rows == nil {
		c.rows, c.undecodable = make(map[table.Key]*T), make(map[table.Key]error)
	}
	if cached, ok := c.rows[row.Key]; ok && row.Version != 0 && row.Version <= codec.version(cached) {
		return nil, false
	}
	delete(c.rows, row.Key)
	delete(c.undecodable, row.Key)
	v, err := codec.decode(row)
	if err != nil {
		c.undecodable[row.Key] = err
		return nil, true
	}
	if row.Version != 0 {
		c.rows[row.Key] = &v
	}
	return &v, true
}

func (c *rowCache[T]) contains(key table.Key) bool {
	return c.prefix != "" && strings.HasPrefix(string(key), c.prefix)
}
