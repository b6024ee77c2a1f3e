package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"lavenderpond/platform/standin"
)

// Limits of one call to the store: "A call holds at most 100 entries and at most 1 MB."
const (
	maxCallEntries = 100
	maxCallBytes   = 1 << 20
)

// store is the project's stand-in for the store, with the limits of a call added, as one daemon
// calls it.
type store struct {
	*standin.Table
	w      *world
	daemon string
}

// ServeHTTP refuses transactions beyond the limits of a call as malformed and passes all other
// calls on.
func (s store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-tx" {
		s.Table.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var tx struct {
		Conditions []json.RawMessage `json:"expected_rev"`
		Writes     []json.RawMessage `json:"writes"`
		Removals   []json.RawMessage `json:"remove"`
	}
	if json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	entries := len(tx.Conditions) + len(tx.Writes) + len(tx.Removals)
	s.w.noteTransaction(len(body))
	if len(body) > maxCallBytes || entries > maxCallEntries {
		s.w.refusedCalls.Add(1)
		s.w.logf("store: refused a transaction of %s with %d entries and %d bytes (400)", s.daemon, entries, len(body))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(tx.Conditions) > 0 {
		s.w.lastWriter.Store(s.daemon)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.Table.ServeHTTP(w, r)
}
