package policy

import "slices"

// Change is a difference between two policies.
type Change struct {
	// Subject is the name of a switch, or "exception NAME".
	Subject string
	Kind    ChangeKind
}

// ChangeKind is what happened to a switch or an exception.
type ChangeKind int

// The kinds of changes. The first two apply to switches, the others to exceptions.
const (
	// Enabled means that a switch was turned on.
	Enabled ChangeKind = iota
	// Disabled means that a switch was turned off.
	Disabled
	// Added means that an exception is new.
	Added
	// Removed means that an exception is gone.
	Removed
	// Altered means that an exception has other contents.
	Altered
)

// String returns the kind in snake case.
func (k ChangeKind) String() string {
	return [...]string{"enabled", "disabled", "added", "removed", "altered"}[k]
}

// ChangesFrom returns how p differs from an earlier policy: the switches in their usual order,
// then exceptions that are new or altered, then those that are gone.
func (p *Policy) ChangesFrom(before *Policy) []Change {
	var out []Change
	for _, s := range Switches() {
		switch was, is := s.Enabled(before), s.Enabled(p); {
		case is && !was:
			out = append(out, Change{s.Name, Enabled})
		case was && !is:
			out = append(out, Change{s.Name, Disabled})
		}
	}
	for _, e := range p.Exceptions {
		i := before.exceptionIndex(e.Name)
		switch {
		case i < 0:
			out = append(out, Change{e.subject(), Added})
		case !before.Exceptions[i].equal(e):
			out = append(out, Change{e.subject(), Altered})
		}
	}
	for _, e := range before.Exceptions {
		if p.exceptionIndex(e.Name) < 0 {
			out = append(out, Change{e.subject(), Removed})
		}
	}
	return out
}

func (p *Policy) exceptionIndex(name string) int {
	return slices.IndexFunc(p.Exceptions, func(e Exception) bool { return e.Name == name })
}

func (e *Exception) subject() string { return "exception " + e.Name }

// equal compares the ends as instants, since two time zones may write one instant differently.
func (e Exception) equal(o Exception) bool {
	sameEnd := e.End.Equal(o.End)
	e.End = o.End
	return sameEnd && e == o
}
