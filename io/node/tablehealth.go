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
func (h *tableHealth) recordAnswer(part string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.breaker.RecordAnswer(bootNow(), contact.Part(part)) {
		h.log.Info().Str("event", "table_part_regained").Str("part", part).Send()
	}
}

// heardAny notes an answer that is of no part.
func (h *tableHealth) recordContact() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breaker.RecordContact(bootNow())
}

// recordFailure notes that a part didn't answer.
func (h *tableHealth) recordFailure(part string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.breaker.RecordFailure(bootNow(), contact.Part(part)) {
		h.log.Info().Str("event", "table_part_lost").Str("part", part).Send()
	}
}

// decide says what to do with a call to a part.
func (h *tableHealth) decide(part string) contact.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.breaker.Decide(bootNow(), contact.Part(part))
}

// sinceLastAnswer returns how old the table's last word is.
func (h *tableHealth) sinceLastAnswer() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.breaker.SinceLastAnswer(bootNow())
}
