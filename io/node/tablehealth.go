package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core/contact"
)

// tableHealth tracks whether the table and its partitions are reachable. Everything in
// this process that calls the table shares one tableHealth. The zero value has recorded no
// answer.
type tableHealth struct {
	log zerolog.Logger

	mu      sync.Mutex
	breaker contact.Breaker
}

// recordAnswer records that a partition of the table has answered.
func (h *tableHealth) recordAnswer(partition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.breaker.RecordAnswer(bootNow(), contact.Partition(partition)) {
		h.log.Info().Str("event", "table_part_regained").Str("part", partition).Send()
	}
}

// recordContact records an answer that isn't specific to a partition.
func (h *tableHealth) recordContact() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breaker.RecordContact(bootNow())
}

// recordFailure records that a partition didn't answer.
func (h *tableHealth) recordFailure(partition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.breaker.RecordFailure(bootNow(), contact.Partition(partition)) {
		h.log.Info().Str("event", "table_part_lost").Str("part", partition).Send()
	}
}

// decide returns whether to send, probe with, or refuse a call to a partition.
func (h *tableHealth) decide(partition string) contact.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.breaker.Decide(bootNow(), contact.Partition(partition))
}

// sinceLastAnswer returns the time since the table's last answer.
func (h *tableHealth) sinceLastAnswer() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.breaker.SinceLastAnswer(bootNow())
}
