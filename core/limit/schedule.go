package limit

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/deadline"
)

// schedule orders the allotments by the time of their next evaluation, so that the cost
// of a round depends on the number of allotments evaluated and not on the number held.
// The zero value is empty.
type schedule struct{ byDecision deadline.Heap[*teamAllotment] }

func (s *schedule) add(a *teamAllotment) { s.byDecision.Push(a) }

// makeDue schedules a for the next round.
func (s *schedule) makeDue(a *teamAllotment) {
	if a.decideAt.IsZero() {
		return
	}
	a.decideAt = time.Time{}
	s.byDecision.Fix(a)
}

// makeAllDue schedules every allotment for the next round.
func (s *schedule) makeAllDue() {
	for _, a := range s.byDecision.All() {
		// The heap order holds, because all keys are equal.
		a.decideAt = time.Time{}
	}
}

// takeDue removes and returns the allotments due at now, sorted by team so that the
// same events always produce the same commands in the same order. The caller must add
// them again.
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

// HeapIndex implements deadline.Item.
func (a *teamAllotment) HeapIndex() *int { return &a.heapIndex }

// decideDue evaluates the allotments that are due.
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

// nextDecisionAt returns when a is evaluated next if no event concerns it. Most
// allotments wait for long, because an entry may know hundreds of teams of which few
// have work.
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
	return a.move != nil || !a.rowsKnown || now.Before(a.demandAt.Add(demandTTL)) || l.stopping
}

// mayChangeSoon reports whether the passage of time alone may call for a move of a:
// running requests end, or a mark, a wait or a reclaim expires. All other causes arrive
// as events, except unused slots, which aren't urgent on a scale of seconds.
func (l *Ledger) mayChangeSoon(now time.Time, a *teamAllotment) bool {
	if a.running.count() > 0 || !a.readSentAt.IsZero() || !a.limitKnown || a.teamRow.Sum() > a.limit || !l.rowsAsOf(a).After(a.reducedAt) {
		return true
	}
	if a.teamRow.ShortUntil.After(now) || countOtherMarks(a.teamRow.DemandMarks, "", now)+countOtherMarks(a.zoneRow.DemandMarks, "", now) > 0 {
		return true
	}
	return now.Before(a.retryAt) || len(a.zoneRow.ReclaimAt) > 0 || len(l.downZones) > 0 || l.hasGoneHolder(a)
}

func (l *Ledger) hasGoneHolder(a *teamAllotment) bool {
	for e := range a.zoneRow.Entries {
		if l.goneEntries[e] {
			return true
		}
	}
	return false
}

func (l *Ledger) forgettable(now time.Time, a *teamAllotment) bool {
	return a.move == nil && a.slots == 0 && a.running.count() == 0 && a.rowsKnown &&
		!now.Before(a.demandAt.Add(forgetAfter)) && !now.Before(a.usage.lastUsed.Add(forgetAfter))
}

// forget removes a team that isn't in the schedule.
func (l *Ledger) forget(team core.TeamID) {
	delete(l.teams, team)
	delete(l.unknownLimits, team)
	i, _ := slices.BinarySearch(l.teamOrder, team)
	l.teamOrder = slices.Delete(l.teamOrder, i, i+1)
}
