package platform

import (
	"strings"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// rowCodec decodes the rows of one kind and returns their versions.
type rowCodec[T any] struct {
	decode  func(table.Row) (T, error)
	version func(*T) core.Version
}

// The codecs drop a row's JSON once it is decoded, because transactions need only its
// key and version.
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

// rowCache holds the decoded rows under a prefix and follows their changes, so that the
// cost of a poll depends on the number of changes and not on the number of rows. A row
// that can't be decoded is left out, so that one bad row doesn't stop a zone's
// maintenance.
type rowCache[T any] struct {
	prefix   string
	revision table.Revision
	// A row in rows is replaced when it changes, and never modified.
	rows map[table.Key]*T
	// undecodable holds the errors of the rows that could not be decoded.
	undecodable map[table.Key]error
}

// update stores a row and returns it decoded, or nil if it can't be decoded. It returns
// false if the row changes nothing.
//
// A poll's answer may be older than a write by this daemon that was applied during the
// poll. Storing the old row would undo the write until the next poll, and a controller
// would base decisions on it. The versions of a key never decrease, so they show which
// row is newer.
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

// covers reports whether key is under the cache's prefix.
func (c *rowCache[T]) covers(key table.Key) bool {
	return c.prefix != "" && strings.HasPrefix(string(key), c.prefix)
}
