package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core/contact"
)

// tableHealth is what this process knows of the table, for all that call it. Its zero
// value has heard nothing.
type tableHealth struct {
	log zerolog.Logger

	mu      sync.Mutex
	breaker contact.Breaker
}

// recordAnswer notes that a part of the table has answered.
func (r *tableHealth) recordAnswer(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.breaker.RecordAnswer(bootNow(), contact.Part(part)) {
		r.log.Info().Str("event", "table_part_regained").Str("part", part).Send()
	}
}

// heardAny notes an answer that is of no part.
func (r *tableHealth) recordContact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaker.RecordContact(bootNow())
}

// recordFailure notes that a part didn't answer.
func (r *tableHealth) recordFailure(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.breaker.RecordFailure(bootNow(), contact.Part(part)) {
		r.log.Info().Str("event", "table_part_lost").Str("part", part).Send()
	}
}

// decide says what to do with a call to a part.
func (r *tableHealth) decide(part string) contact.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaker.Decide(bootNow(), contact.Part(part))
}

// sinceLastAnswer returns how old the table's last word is.
func (r *tableHealth) sinceLastAnswer() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaker.SinceLastAnswer(bootNow())
}
