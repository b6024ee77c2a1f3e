// Package indexset holds sets of indexes that are added roughly in ascending order.
package indexset

import (
	"maps"
	"slices"
)

// Set is a set of indexes from 0 on. Its size in memory grows with the indexes that were added out of
// order. The zero value is empty.
type Set struct {
	// before is the lowest index that isn't in the set.
	before int
	// beyond holds the indexes above before.
	beyond map[int]struct{}
}

// Has reports whether the index is in the set.
func (s *Set) Has(i int) bool {
	if i < s.before {
		return true
	}
	_, ok := s.beyond[i]
	return ok
}

// Add adds an index.
func (s *Set) Add(i int) {
	switch {
	case i < s.before:
		return
	case i > s.before:
		if s.beyond == nil {
			s.beyond = map[int]struct{}{}
		}
		s.beyond[i] = struct{}{}
		return
	}
	s.before++
	s.absorb()
}

// AddBelow adds all indexes below n.
func (s *Set) AddBelow(n int) {
	if n <= s.before {
		return
	}
	s.before = n
	maps.DeleteFunc(s.beyond, func(i int, _ struct{}) bool { return i < n })
	s.absorb()
}

// absorb moves the indexes that follow before out of beyond.
func (s *Set) absorb() {
	for len(s.beyond) > 0 {
		if _, ok := s.beyond[s.before]; !ok {
			return
		}
		delete(s.beyond, s.before)
		s.before++
	}
}

// Len returns the number of indexes in the set.
func (s *Set) Len() int { return s.before + len(s.beyond) }

// Before returns the lowest index that isn't in the set.
func (s *Set) Before() int { return s.before }

// Beyond returns the indexes above Before, in ascending order.
func (s *Set) Beyond() []int { return slices.Sorted(maps.Keys(s.beyond)) }

// All returns all indexes, in ascending order.
func (s *Set) All() []int {
	out := make([]int, 0, s.Len())
	for i := range s.before {
		out = append(out, i)
	}
	return append(out, s.Beyond()...)
}
