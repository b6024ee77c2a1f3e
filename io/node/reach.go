package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core/contact"
)

// reach is what this process knows of the table, for all that call it. Its zero
// value has heard nothing.
type reach struct {
	log zerolog.Logger

	mu    sync.Mutex
	table contact.Breaker
}

// heard notes that a part of the table has answered.
func (r *reach) heard(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.RecordAnswer(bootNow(), contact.Part(part)) {
		r.log.Info().Str("event", "table_part_regained").Str("part", part).Send()
	}
}

// heardAny notes an answer that is of no part.
func (r *reach) heardAny() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordContact(bootNow())
}

// failed notes that a part didn't answer.
func (r *reach) failed(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.RecordFailure(bootNow(), contact.Part(part)) {
		r.log.Info().Str("event", "table_part_lost").Str("part", part).Send()
	}
}

// decide says what to do with a call to a part.
func (r *reach) decide(part string) contact.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Decide(bootNow(), contact.Part(part))
}

// age returns how old the table's last word is.
func (r *reach) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.SinceLastAnswer(bootNow())
}
