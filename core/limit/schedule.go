package limit

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/deadline"
)

// schedule keeps the allotments by when they are looked at next, so that a round
// costs what it looks at and not what the entry holds. The zero value is empty.
type schedule struct{ byLook deadline.Heap[*allotment] }

func (s *schedule) add(a *allotment) { s.byLook.Push(a) }

// now has a looked at in the next round.
func (s *schedule) now(a *allotment) {
	if a.lookAt.IsZero() {
		return
	}
	a.lookAt = time.Time{}
	s.byLook.Fix(a)
}

// all has every allotment looked at in the next round.
func (s *schedule) all() {
	for _, a := range s.byLook.All() {
		// Equal keys need no order.
		a.lookAt = time.Time{}
	}
}

// due takes out the allotments to look at now, by team, so that the same events give
// the same commands in the same order. They have to be added again.
func (s *schedule) due(now time.Time) []*allotment {
	var due []*allotment
	for a, ok := s.byLook.Due(now); ok; a, ok = s.byLook.Due(now) {
		s.byLook.Remove(a)
		due = append(due, a)
	}
	slices.SortFunc(due, func(a, b *allotment) int { return cmp.Compare(a.id, b.id) })
	return due
}

// Deadline implements deadline.Item.
func (a *allotment) Deadline() time.Time { return a.lookAt }

// HeapIndex implements deadline.Item.
func (a *allotment) HeapIndex() *int { return &a.index }

// decideAll looks at the allotments that are due.
func (l *Ledger) decideAll(now time.Time) []Command {
	var commands []Command
	for _, a := range l.schedule.due(now) {
		commands = append(commands, l.decide(now, a.id, a)...)
		if l.forgettable(now, a) {
			l.forget(a.id)
			continue
		}
		a.lookAt = l.nextLook(now, a)
		l.schedule.add(a)
	}
	return commands
}

// nextLook returns when a is looked at again if nothing is heard of it: an entry may
// know hundreds of teams of which few have work.
func (l *Ledger) nextLook(now time.Time, a *allotment) time.Time {
	switch {
	case l.hasNews(now, a):
		return now
	case l.changesSoon(now, a):
		return now.Add(lookEvery)
	default:
		return now.Add(quietLookEvery)
	}
}

func (l *Ledger) hasNews(now time.Time, a *allotment) bool {
	return a.move != nil || !a.known || now.Before(a.wanted.Add(wantFor)) || l.stopping
}

// changesSoon reports whether time alone may call for a move of a: work ends, a mark,
// a wait or a reclaim runs out. All else that does comes as an event, but for parts
// that nobody uses, which are no matter of seconds.
func (l *Ledger) changesSoon(now time.Time, a *allotment) bool {
	if a.running.count() > 0 || !a.readSent.IsZero() || !a.limitKnown || a.team.Sum() > a.limit || !l.rowsAt(a).After(a.lowered) {
		return true
	}
	if a.team.Short.After(now) || othersWant(a.team.Wanted, "", now)+othersWant(a.zone.Wanted, "", now) > 0 {
		return true
	}
	return now.Before(a.retryAt) || len(a.zone.Reclaim) > 0 || len(l.down) > 0 || l.holdsGone(a)
}

func (l *Ledger) holdsGone(a *allotment) bool {
	for e := range a.zone.Entries {
		if l.gone[e] {
			return true
		}
	}
	return false
}

func (l *Ledger) forgettable(now time.Time, a *allotment) bool {
	return a.move == nil && a.part == 0 && a.running.count() == 0 && a.known &&
		!now.Before(a.wanted.Add(forgetAfter)) && !now.Before(a.used.last.Add(forgetAfter))
}

// forget drops a team that isn't in the schedule.
func (l *Ledger) forget(team core.TeamID) {
	delete(l.teams, team)
	delete(l.unlimited, team)
	i, _ := slices.BinarySearch(l.order, team)
	l.order = slices.Delete(l.order, i, i+1)
}
