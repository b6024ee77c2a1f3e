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

// unixMilli is a time in milliseconds since the Unix epoch, or 0 for the zero time. It
// takes half the bytes of a time.Time on the wire. Times are rounded down, so that
// rounding never makes evidence look fresher than it is.
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

// setDigest is a digest of a set of withdrawals. 0 represents the empty set.
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

// Told is the state that an entry sends to a peer in one message. With all contact times
// and all withdrawals in every message, a relay in a fleet of seven zones would exceed
// its limit of 10 KB/s for control traffic (docs/CAPACITY.md). So a message without
// changes contains little more than the version and a digest.
type Told struct {
	// Version is the sender's configuration version.
	Version core.Version
	// Behind is the number of versions that the Rows cover: they contain the changes
	// since Version - Behind.
	Behind core.Version
	Rows   []table.Row
	// Complete, Contacts and Joined have the same meaning as in key.Summary. Contacts
	// contains only times later than Complete.
	Complete unixMilli
	Contacts map[core.ZoneID]unixMilli
	Joined   bool
	// Unrecorded is the digest of the withdrawals that aren't in the table yet.
	// Withdrawals lists them. The list is omitted in the first message of an exchange,
	// and if the receiver's own digest was the same.
	Unrecorded  setDigest
	Withdrawals []key.Withdrawal
}

// newTold returns the message for d and s, without the list of withdrawals.
//
// Contacts that aren't later than the latest table read are omitted: the table read
// proves everything that such a contact proves. That holds at the receiver as well,
// because it reduces both times by the same clock skew.
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

// delta returns the configuration changes in the message.
func (t *Told) delta() config.Delta {
	return config.Delta{Base: t.Version - t.Behind, Version: t.Version, Rows: t.Rows}
}

// summary returns the key ring's part of the message, for a receiver that holds the
// withdrawals with digest held.
//
// Evidence of freshness is valid only together with the sender's withdrawals. If it
// were used from a message that omits them, the receiver's list would stay fresh
// although a withdrawal is missing, and the withdrawn key would still be accepted. So
// if the withdrawals are omitted and the digests differ, the result is empty; the list
// follows in the reply or the next message. Withdrawals are only ever added, so equal
// digests prove that none is missing.
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
