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
type schedule struct{ byDecision deadline.Heap[*teamAllotment] }

func (s *schedule) add(a *teamAllotment) { s.byDecision.Push(a) }

// makeDue has a looked at in the next round.
func (s *schedule) makeDue(a *teamAllotment) {
	if a.decideAt.IsZero() {
		return
	}
	a.decideAt = time.Time{}
	s.byDecision.Fix(a)
}

// makeAllDue has every allotment looked at in the next round.
func (s *schedule) makeAllDue() {
	for _, a := range s.byDecision.All() {
		// Equal keys need no order.
		a.decideAt = time.Time{}
	}
}

// takeDue takes out the allotments to look at now, by team, so that the same events give
// the same commands in the same order. They have to be added again.
func (s *schedule) takeDue(now time.Time) []*teamAllotment {
	var due []*teamAllotment
	for a, ok := s.byDecision.Due(now); ok; a, ok = s.byDecision.Due(now) {
		s.byDecision.Remove(a)
		due = append(due, a)
	}
	slices.SortFunc(due, func(a, b *teamAllotment) int { return cmp.Compare(a.id, b.id) })
	return due
}

// Deadline implements deadline.Item.
func (a *teamAllotment) Deadline() time.Time { return a.decideAt }

// Place implements deadline.Item.
func (a *teamAllotment) Place() *int { return &a.heapIndex }

// decideDue looks at the allotments that are due.
func (l *Ledger) decideDue(now time.Time) []Command {
	var commands []Command
	for _, a := range l.schedule.takeDue(now) {
		commands = append(commands, l.decide(now, a.id, a)...)
		if l.forgettable(now, a) {
			l.forget(a.id)
			continue
		}
		a.decideAt = l.nextDecisionAt(now, a)
		l.schedule.add(a)
	}
	return commands
}

// nextDecisionAt returns when a is looked at again if nothing is heard of it: an entry may
// know hundreds of teams of which few have work.
func (l *Ledger) nextDecisionAt(now time.Time, a *teamAllotment) time.Time {
	switch {
	case l.needsDecisionNow(now, a):
		return now
	case l.mayChangeSoon(now, a):
		return now.Add(decideInterval)
	default:
		return now.Add(quietDecideInterval)
	}
}

func (l *Ledger) needsDecisionNow(now time.Time, a *teamAllotment) bool {
	return a.move != nil || !a.known || now.Before(a.demandAt.Add(demandTTL)) || l.stopping
}

// mayChangeSoon reports whether time alone may call for a move of a: work ends, a mark,
// a wait or a reclaim runs out. All else that does comes as an event, but for parts
// that nobody uses, which are no matter of seconds.
func (l *Ledger) mayChangeSoon(now time.Time, a *teamAllotment) bool {
	if a.running.count() > 0 || !a.readSentAt.IsZero() || !a.limitKnown || a.team.Sum() > a.limit || !l.rowsAsOf(a).After(a.loweredAt) {
		return true
	}
	if a.team.Short.After(now) || countOtherMarks(a.team.Wanted, "", now)+countOtherMarks(a.zone.Wanted, "", now) > 0 {
		return true
	}
	return now.Before(a.retryAt) || len(a.zone.Reclaim) > 0 || len(l.downZones) > 0 || l.hasGoneHolder(a)
}

func (l *Ledger) hasGoneHolder(a *teamAllotment) bool {
	for e := range a.zone.Entries {
		if l.goneEntries[e] {
			return true
		}
	}
	return false
}

func (l *Ledger) forgettable(now time.Time, a *teamAllotment) bool {
	return a.move == nil && a.slots == 0 && a.running.count() == 0 && a.known &&
		!now.Before(a.demandAt.Add(forgetAfter)) && !now.Before(a.usage.lastUsed.Add(forgetAfter))
}

// forget drops a team that isn't in the schedule.
func (l *Ledger) forget(team core.TeamID) {
	delete(l.teams, team)
	delete(l.unknownLimits, team)
	i, _ := slices.BinarySearch(l.teamOrder, team)
	l.teamOrder = slices.Delete(l.teamOrder, i, i+1)
}
