package node

import (
	"math/rand/v2"
	"net/http/httptest"
	"sync"

	"lavenderpond/platform/standin"
)

// heldTransactions are transactions that a table has received and not applied yet. The zero value
// holds none.
type heldTransactions struct {
	mu     sync.Mutex
	bodies [][]byte
}

func (h *heldTransactions) add(body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodies = append(h.bodies, body)
}

// apply applies the first n of the transactions, or all if there are fewer, in random order.
func (h *heldTransactions) apply(t *standin.Table, r *rand.Rand, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Shuffle(len(h.bodies), func(i, j int) { h.bodies[i], h.bodies[j] = h.bodies[j], h.bodies[i] })
	n = min(n, len(h.bodies))
	for _, body := range h.bodies[:n] {
		t.Transact(httptest.NewRecorder(), body)
	}
	h.bodies = h.bodies[n:]
}

// count returns the number of transactions.
func (h *heldTransactions) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.bodies)
}
