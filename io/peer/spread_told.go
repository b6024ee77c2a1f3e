package peer

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
	"lavenderpond/core/table"
)

// unixMilli is an instant in milliseconds since 1970, rounded down; 0 is none. A
// time.Time costs twice the bytes. Rounded down, evidence is never made younger.
type unixMilli int64

func toUnixMilli(t time.Time) unixMilli {
	if t.IsZero() {
		return 0
	}
	return unixMilli(t.UnixMilli())
}

func (m unixMilli) time() time.Time {
	if m == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(m))
}

// setDigest stands for a set of withdrawals; 0 is the empty one.
type setDigest uint64

func digestOf(withdrawals []key.Withdrawal) setDigest {
	if len(withdrawals) == 0 {
		return 0
	}
	h := sha256.New()
	for _, w := range withdrawals {
		_, _ = h.Write([]byte(w.Digest + "\n"))
	}
	return setDigest(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Told is what an entry tells a peer in one message. Told in full, with the time of
// every zone's contact and every withdrawal, it took a relay of seven zones over the
// 10 KB/s that its control may cost (docs/CAPACITY.md), so a quiet one says little
// more than that there is nothing new.
type Told struct {
	// Version is the configuration version that the teller holds.
	Version core.Version
	// Behind is how many versions below Version the Rows start.
	Behind core.Version
	Rows   []table.Row
	// Complete, Contacts and Joined are those of key.Summary; Contacts only those later
	// than Complete.
	Complete unixMilli
	Contacts map[core.ZoneID]unixMilli
	Joined   bool
	// Unrecorded stands for the withdrawals that aren't in the table yet. Withdrawals
	// lists them, unless the receiver is thought to hold them or to ask for them.
	Unrecorded  setDigest
	Withdrawals []key.Withdrawal
}

// newTold says d and s, without the list of withdrawals.
//
// A contact that isn't later than the evidence by the table adds nothing to it, and
// neither does it at the receiver, who dates both back alike: whatever rests on the
// contact, the table's word proves too.
func newTold(d config.Delta, s key.Summary) Told {
	t := Told{
		Version: d.Version, Behind: d.Version - d.Base, Rows: d.Rows,
		Complete: toUnixMilli(s.Complete), Joined: s.Joined, Unrecorded: digestOf(s.Withdrawals),
	}
	for z, at := range s.Contacts {
		if m := toUnixMilli(at); m > t.Complete {
			t.addContact(z, m)
		}
	}
	return t
}

func (t *Told) addContact(z core.ZoneID, at unixMilli) {
	if t.Contacts == nil {
		t.Contacts = make(map[core.ZoneID]unixMilli)
	}
	t.Contacts[z] = at
}

// delta returns the rows that were told.
func (t *Told) delta() config.Delta {
	return config.Delta{Base: t.Version - t.Behind, Version: t.Version, Rows: t.Rows}
}

// summary returns what was told of the key ring, to a receiver that holds held.
//
// Evidence counts only together with the withdrawals that it vouches for. Taken from
// a message that left them out, it would keep this entry's list trusted although it
// lacks one, and the withdrawn key would go on working here. Withdrawals only grow,
// so an equal digest proves that none is lacking, and the list that settles another
// one comes with the reply or the next message.
func (t *Told) summary(held setDigest) key.Summary {
	if t.Unrecorded != 0 && t.Unrecorded != held && len(t.Withdrawals) == 0 {
		return key.Summary{}
	}
	s := key.Summary{Complete: t.Complete.time(), Joined: t.Joined, Withdrawals: t.Withdrawals}
	s.Contacts = make(map[core.ZoneID]time.Time, len(t.Contacts))
	for z, at := range t.Contacts {
		s.Contacts[z] = at.time()
	}
	return s
}
