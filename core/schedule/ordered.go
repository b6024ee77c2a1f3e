package schedule

import "iter"

// ordered is a map that is walked in the order of insertion: the same events
// must always bring about the same commands. Its zero value is empty.
type ordered[K comparable, V any] struct {
	values map[K]V
	keys   []K
}

// Get returns the value of k, or the zero value.
func (o *ordered[K, V]) Get(k K) V { return o.values[k] }

// Has tells whether there is a value of k.
func (o *ordered[K, V]) Has(k K) bool {
	_, ok := o.values[k]
	return ok
}

// Len returns the number of values.
func (o *ordered[K, V]) Len() int { return len(o.keys) }

// Set sets the value of k.
func (o *ordered[K, V]) Set(k K, v V) {
	if o.values == nil {
		o.values = map[K]V{}
	}
	if !o.Has(k) {
		o.keys = append(o.keys, k)
	}
	o.values[k] = v
}

// Delete takes k out. It copies the keys, so that a walk that is going on holds.
func (o *ordered[K, V]) Delete(k K) {
	if !o.Has(k) {
		return
	}
	delete(o.values, k)
	keys := make([]K, 0, len(o.keys))
	for _, x := range o.keys {
		if x != k {
			keys = append(keys, x)
		}
	}
	o.keys = keys
}

// All walks keys and values. Values may be set and deleted meanwhile.
func (o *ordered[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range o.keys {
			if v, ok := o.values[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}
