package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// randomSave returns a save of a random job, of random size.
func randomSave(r *rand.Rand, sequence int64, jobs int) schedule.Save {
	s := schedule.Save{Sequence: sequence, Job: job.ID(fmt.Sprintf("%016x", r.IntN(jobs)))}
	switch r.IntN(8) {
	case 0:
		s.Progress = incompressibleProgress(r.IntN(4 * rowBytes))
	case 1:
		s.Progress = startedTasks(r.IntN(2000))
	default:
		s.Progress = job.Progress{State: job.Running}
	}
	return s
}

// FuzzRefusedRows guards against any sequence of rows, sizes and refusals after which the owner stores nothing more, or holds something for stored that isn't.
func FuzzRefusedRows(f *testing.F) {
	for seed := range uint64(6) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		const jobs, batches = 40, 6
		r := rand.New(rand.NewPCG(seed, 1))
		server := &refusingTable{Table: standin.NewTable(), refused: map[platform.RowKey]bool{}, status: http.StatusBadRequest}
		table := serveTable(t, server)
		c := newOwningCommitter(t, table)
		c.rowBytes = rowBytes
		last := map[job.ID]schedule.Save{}
		refused := map[job.ID]bool{}
		c.onRefused = func(x schedule.Command) { refused[x.(schedule.Save).Job] = true }
		for sequence := range int64(batches) {
			clear(refused)
			clear(server.refused)
			for range r.IntN(4) {
				server.refused[progressKey(job.ID(fmt.Sprintf("%016x", r.IntN(jobs))))] = true
			}
			saved := map[job.ID]schedule.Save{}
			for range 1 + r.IntN(3*jobs) {
				x := randomSave(r, sequence+1, jobs)
				saved[x.Job] = x
				c.add([]schedule.Command{x})
			}
			runUntilStored(t, c, sequence+1)
			for id, x := range saved {
				assert.Equal(t, refused[id], server.refused[progressKey(id)], "seed %d, %s", seed, id)
				if !refused[id] {
					last[id] = x
				}
			}
		}
		rows, _, err := table.ListAll(t.Context(), progressTable, mainPartition)
		assert.NilError(t, err)
		joined, _, err := joinParts(rows)
		assert.NilError(t, err)
		assert.Equal(t, len(joined), len(last))
		for i := range joined {
			got, err := decodeRow[progressRow](&joined[i])
			assert.NilError(t, err)
			assert.DeepEqual(t, got.progress(&tableClock{}), last[job.ID(joined[i].Key)].Progress)
		}
		assertRenewed(t, c)
	})
}
