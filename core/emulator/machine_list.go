package emulator

import (
	"math/rand/v2"
	"time"

	"lavenderpond/core/job"
)

// MachineLists configures how the lists of machines that owners read differ from the machines. Its
// zero value lists the machines as they are.
type MachineLists struct {
	// Lag bounds how old a page of a list is when it is read. Each page has an age of its own.
	Lag time.Duration
	// PageSize is the number of machines on a page; 0 means that a list has one page. PageDelay
	// bounds the time between the reads of two pages.
	PageSize  int
	PageDelay time.Duration
	// MissingShare is the mean share of machines that the lists have lost and regain seconds later.
	MissingShare float64
	// ArrivalDelay bounds the time until a machine that arrives during the run is listed.
	ArrivalDelay time.Duration
}

const (
	// snapshotInterval is the time between two states of the list that owners may read.
	snapshotInterval = 50 * time.Millisecond
	// Entries are lost for minMissing to maxMissing, and it is decided each missingInterval which.
	minMissing, maxMissing = time.Second, 6 * time.Second
	missingInterval        = 250 * time.Millisecond
	// lastPageDelay is the time from the read of the last page until the owner has the list.
	lastPageDelay = 4 * time.Millisecond
)

// machineLists are the lists of machines as owners may read them.
type machineLists struct {
	MachineLists
	w         *World
	rng       *rand.Rand
	snapshots []machineSnapshot
	// hiddenUntil is until when the lists lack a machine.
	hiddenUntil map[job.MachineID]time.Time
}

// machineSnapshot is the complete list at a time.
type machineSnapshot struct {
	at       time.Time
	machines []job.Machine
}

func newMachineLists(w *World, sc Scenario) *machineLists {
	l := &machineLists{MachineLists: sc.MachineLists, w: w, rng: rand.New(rand.NewPCG(sc.Seed, 8)), hiddenUntil: map[job.MachineID]time.Time{}}
	if l.Lag > 0 {
		l.takeSnapshot()
	}
	if l.MissingShare > 0 {
		l.loseEntries()
	}
	return l
}

// takeSnapshot keeps the present list for as long as it may be read, and repeats itself.
func (l *machineLists) takeSnapshot() {
	l.snapshots = append(l.snapshots, machineSnapshot{at: l.w.now, machines: l.w.listMachines()})
	for len(l.snapshots) > 1 && l.w.now.Sub(l.snapshots[1].at) > l.Lag {
		l.snapshots = l.snapshots[1:]
	}
	l.w.after(snapshotInterval, l.takeSnapshot)
}

// loseEntries removes random machines from the lists for some seconds, and repeats itself.
func (l *machineLists) loseEntries() {
	p := l.MissingShare * float64(missingInterval) / float64((minMissing+maxMissing)/2)
	for _, m := range l.w.machines {
		if l.rng.Float64() < p {
			l.hide(m.id, randomDuration(l.rng, minMissing, maxMissing))
		}
	}
	l.w.after(missingInterval, l.loseEntries)
}

// hide keeps a machine off the lists for d.
func (l *machineLists) hide(id job.MachineID, d time.Duration) {
	if until := l.w.now.Add(d); until.After(l.hiddenUntil[id]) {
		l.hiddenUntil[id] = until
		l.w.tracef("%s isn't listed for %s", id, d)
	}
}

// arrived keeps a machine that has just arrived off the lists for a time.
func (l *machineLists) arrived(id job.MachineID) {
	if l.ArrivalDelay > 0 {
		l.hide(id, randomDuration(l.rng, 0, l.ArrivalDelay))
	}
}

// read reads a list, page by page, and passes it to done.
func (l *machineLists) read(done func([]job.Machine)) { l.readPage(nil, 0, done) }

// readPage reads the page at an offset, and then the others. Since each page is cut from the list of
// its moment, a machine between two pages may be listed twice or not at all.
func (l *machineLists) readPage(former []job.Machine, offset int, done func([]job.Machine)) {
	current := l.current()
	end := len(current)
	if l.PageSize > 0 {
		end = min(end, offset+l.PageSize)
	}
	list := append(former, current[min(offset, end):end]...)
	if end == len(current) {
		l.w.after(lastPageDelay, func() { done(list) })
		return
	}
	l.w.after(randomDuration(l.rng, 0, l.PageDelay), func() { l.readPage(list, end, done) })
}

// current returns the list that is read now.
func (l *machineLists) current() []job.Machine {
	if l.Lag == 0 && len(l.hiddenUntil) == 0 {
		return l.w.listMachines()
	}
	var out []job.Machine
	for _, m := range l.laggingList() {
		if !l.w.now.Before(l.hiddenUntil[m.ID]) {
			out = append(out, m)
		}
	}
	return out
}

// laggingList returns the complete list of a random time within the lag.
func (l *machineLists) laggingList() []job.Machine {
	if l.Lag == 0 {
		return l.w.listMachines()
	}
	asOf := l.w.now.Add(-randomDuration(l.rng, 0, l.Lag))
	list := l.snapshots[0].machines
	for _, s := range l.snapshots {
		if !s.at.After(asOf) {
			list = s.machines
		}
	}
	return list
}

// randomDuration returns a random duration in [from, to).
func randomDuration(rng *rand.Rand, from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	return from + time.Duration(rng.Int64N(int64(to-from)))
}
