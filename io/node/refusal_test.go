package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"lavenderpond/core/contact"
	"lavenderpond/core/job"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// lossyTable loses requests and answers at random, and applies some of the lost requests later.
type lossyTable struct {
	*standin.Table
	mu   sync.Mutex
	rand *rand.Rand
	held heldTransactions
}

func (l *lossyTable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		l.Table.ServeHTTP(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.rand.IntN(4) {
	case 0:
		l.held.add(body)
		panic(http.ErrAbortHandler)
	case 1:
		l.Transact(httptest.NewRecorder(), body)
		panic(http.ErrAbortHandler)
	}
	l.Transact(w, body)
}

// applySome applies some of the held requests, or all, in any order.
func (l *lossyTable) applySome(all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.held.count()
	if !all {
		n = l.rand.IntN(n + 1)
	}
	l.held.apply(l.Table, l.rand, n)
}

// errRefusalStored is the answer of a call whose refusal was stored.
var errRefusalStored = errors.New("refused")

// submitOrRefuse handles a call as the handler does, with decisions drawn at random.
func submitOrRefuse(t *testing.T, s *jobStore, r *rand.Rand, j job.Job, version platform.Version) error {
	deadline := bootNow().Add(150 * time.Millisecond)
	refuse := func() (answer error, answered bool) {
		refused, err := s.refuse(t.Context(), deadline, j.ID, 0)
		if err == nil && refused {
			answer = errRefusalStored
		}
		return answer, err == nil
	}
	if r.IntN(2) == 0 {
		if answer, answered := refuse(); answered {
			return answer
		}
	}
	readmit := r.IntN(2) == 0
	_, err := s.submitArrived(t.Context(), deadline, j, contact.Call, arrival{version, func(tableTime) bool { return readmit }})
	if errors.Is(err, errRefusedAgain) {
		if answer, answered := refuse(); answered {
			return answer
		}
		_, err = s.submitArrived(t.Context(), deadline, j, contact.Call, arrival{version, alwaysReadmit})
	}
	return err
}

// Guards against denied calls whose job is stored, calls that are stored though they came before a
// refusal, and accepted jobs that are lost, whatever the table loses or applies late. The calls are
// one caller's, at several entry VMs.
func TestAnswersAboutRefusalsAreTrue(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 2))
			l := &lossyTable{Table: standin.NewTable(), rand: rand.New(rand.NewPCG(seed, 3))}
			server := httptest.NewServer(l)
			t.Cleanup(server.Close)
			s := newJobStore(platform.NewTable(strings.TrimPrefix(server.URL, "http://")))
			versions := []platform.Version{0}
			denied, accepted := map[string]bool{}, false
			lastRefusal := -1
			for i := range 6 {
				j := testJob()
				j.Body.Spec = fmt.Sprint(i)
				arrived := r.IntN(len(versions))
				err := submitOrRefuse(t, s, r, j, versions[arrived])
				accepted = accepted || err == nil
				beforeRefusal := arrived <= lastRefusal
				denied[j.Body.Spec] = beforeRefusal || errors.Is(err, errRefusedMeanwhile) || errors.Is(err, errRefusalStored) || errors.Is(err, errNotStored)
				if errors.Is(err, errRefusalStored) {
					lastRefusal = i
					for k := range i {
						denied[fmt.Sprint(k)] = true
					}
				}
				l.applySome(false)
				_, v := stored(t, s)
				versions = append(versions, v)
			}
			l.applySome(true)
			row, _, err := s.table.Get(t.Context(), jobKey(testJob().ID))
			assert.NilError(t, err)
			assert.Assert(t, row != nil || !accepted, "an accepted job is lost")
			if row != nil {
				j, err := decodeRow[job.Job](row)
				assert.NilError(t, err)
				assert.Assert(t, !denied[j.Body.Spec], "call %s was denied or came before a refusal, and is stored", j.Body.Spec)
			}
		})
	}
}
