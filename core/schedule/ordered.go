package schedule

import "iter"

// orderedMap is a map that is iterated in insertion order, so that the same events always lead
// to the same commands. Its zero value is empty.
type orderedMap[K comparable, V any] struct {
	index   map[K]*entry[K, V]
	entries []*entry[K, V]
}

// entry is a key with its value. An iteration in progress skips entries that are marked as
// deleted.
type entry[K comparable, V any] struct {
	key     K
	value   V
	deleted bool
}

// minCompactEntries is the size from which the map keeps deleted entries until they outnumber
// the others, and then removes them together. Smaller maps remove them immediately.
const minCompactEntries = 32

// Get returns the value of k, or the zero value.
func (o *orderedMap[K, V]) Get(k K) V {
	if e := o.index[k]; e != nil {
		return e.value
	}
	var none V
	return none
}

// Has reports whether the map has a value for k.
func (o *orderedMap[K, V]) Has(k K) bool { return o.index[k] != nil }

// Len returns the number of values.
func (o *orderedMap[K, V]) Len() int { return len(o.index) }

// Set sets the value of k.
func (o *orderedMap[K, V]) Set(k K, v V) {
	if e := o.index[k]; e != nil {
		e.value = v
		return
	}
	if o.index == nil {
		o.index = map[K]*entry[K, V]{}
	}
	e := &entry[K, V]{key: k, value: v}
	o.index[k] = e
	o.entries = append(o.entries, e)
}

// Delete removes k.
func (o *orderedMap[K, V]) Delete(k K) {
	e := o.index[k]
	if e == nil {
		return
	}
	e.deleted = true
	delete(o.index, k)
	if n := len(o.entries); n < minCompactEntries || n > 2*len(o.index) {
		o.compact()
	}
}

// compact removes the deleted entries. It copies the slice, so that iterations in progress stay
// valid.
func (o *orderedMap[K, V]) compact() {
	live := make([]*entry[K, V], 0, len(o.index))
	for _, e := range o.entries {
		if !e.deleted {
			live = append(live, e)
		}
	}
	o.entries = live
}

// Keys returns the keys in insertion order.
func (o *orderedMap[K, V]) Keys() []K {
	out := make([]K, 0, len(o.index))
	for k := range o.All() {
		out = append(out, k)
	}
	return out
}

// All iterates over keys and values. Values may be set and deleted during the iteration.
func (o *orderedMap[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, e := range o.entries {
			if !e.deleted && !yield(e.key, e.value) {
				return
			}
		}
	}
}
