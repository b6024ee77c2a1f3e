package platform

import (
	"context"
	"sync"
	"time"

	"lavenderpond/core"
)

// Limits on the reads of a SharedList.
const (
	// sharedListBytesPerSecond bounds what a daemon reads of a zone's list.
	sharedListBytesPerSecond = 4 << 10
	// sharedListEntryBytes is the approximate size of a VM's record on the wire.
	sharedListEntryBytes = 55
	sharedListMinTTL     = time.Second
	// sharedListMaxTTL keeps the list younger than the waits of its readers. An entry that
	// was never seen must be missing for 30 s to count as ended.
	sharedListMaxTTL = 15 * time.Second
)

// SharedList caches a LiveList for all of a daemon's readers. It reads a zone's list once
// for all of them, and reads a large list less often. Without it, four readers, the
// fastest of which reads once a second, would cost an entry 72 KB/s in a zone of 1,430 VMs
// (docs/CAPACITY.md). If a list can't be renewed, Live returns an error, because an old
// list doesn't prove that a VM has ended. LiveList and Now must be set. A SharedList is
// safe for concurrent use.
type SharedList struct {
	LiveList LiveList
	Now      func() time.Time

	mu    sync.Mutex
	zones map[core.ZoneID]*cachedList
}

type cachedList struct {
	mu         sync.Mutex
	list       []Liveness
	validUntil time.Time
}

var _ LiveList = (*SharedList)(nil)

// Live implements LiveList. The caller must not modify the result.
func (s *SharedList) Live(ctx context.Context, zone core.ZoneID) ([]Liveness, error) {
	z := s.zone(zone)
	z.mu.Lock()
	defer z.mu.Unlock()
	now := s.Now()
	if now.Before(z.validUntil) {
		return z.list, nil
	}
	list, err := s.LiveList.Live(ctx, zone)
	if err != nil {
		return nil, err
	}
	ttl := time.Duration(len(list)*sharedListEntryBytes) * time.Second / sharedListBytesPerSecond
	z.list, z.validUntil = list, now.Add(min(max(ttl, sharedListMinTTL), sharedListMaxTTL))
	return list, nil
}

func (s *SharedList) zone(id core.ZoneID) *cachedList {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zones == nil {
		s.zones = make(map[core.ZoneID]*cachedList)
	}
	if s.zones[id] == nil {
		s.zones[id] = &cachedList{}
	}
	return s.zones[id]
}
