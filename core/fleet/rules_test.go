package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

var testStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

var budgets = map[core.PoolID]int{"a": 2, "b": 1, "spare": 2}

const vmsPerPool = 4

// raceSimulation is a table with three actors that act on views of any age. It checks
// commits against the VMs' rows and the sizes and budgets of the test, never against the
// pools' counters.
type raceSimulation struct {
	rand  *rand.Rand
	now   time.Time
	table table.Memory
	rules Rules
	views []map[table.Key]table.Row
	// permits counts the permits granted under each change id.
	permits  map[core.ChangeID]int
	breaches []string
	vms      []Ref
}

func newRaceSimulation(t *testing.T, seed uint64, rules Rules) *raceSimulation {
	r := &raceSimulation{
		rand: rand.New(rand.NewPCG(seed, 2)), now: testStart, rules: rules,
		permits: make(map[core.ChangeID]int), views: make([]map[table.Key]table.Row, 3),
	}
	for _, id := range []core.PoolID{"a", "b", "spare"} {
		r.commit(t)(SetPool(r.pool(r.table.Read, id), budgets[id], id == "spare"))
		for i := range vmsPerPool {
			ref := Ref{Zone: "z", VM: core.VMID(fmt.Sprintf("%s%d", id, i))}
			r.vms = append(r.vms, ref)
			r.commit(t)(AddVM(testStart, r.vm(r.table.Read, ref), r.pool(r.table.Read, id), true))
		}
	}
	return r
}

func (r *raceSimulation) commit(t *testing.T) func(table.Transaction, error) {
	return func(tx table.Transaction, err error) {
		assert.NilError(t, err)
		assert.NilError(t, r.table.Transact(tx))
	}
}

type reader func(table.Key) table.Row

func (r *raceSimulation) vm(read reader, ref Ref) VMRow {
	row, err := DecodeVM(read(ref.Key()))
	if err != nil {
		panic(err)
	}
	return row
}

func (r *raceSimulation) pool(read reader, id core.PoolID) PoolRow {
	row, err := DecodePool(read(table.PoolStateKey(id)))
	if err != nil {
		panic(err)
	}
	return row
}

// view returns the reader of actor i. It reads the rows as of the actor's last refresh.
func (r *raceSimulation) view(i int) reader {
	if r.views[i] == nil || r.rand.IntN(3) == 0 {
		r.views[i] = make(map[table.Key]table.Row)
		for _, row := range r.table.Scan("") {
			r.views[i][row.Key] = row
		}
	}
	return func(k table.Key) table.Row {
		if row, ok := r.views[i][k]; ok {
			return row
		}
		return table.Row{Key: k}
	}
}

// step lets a random actor change a random VM. The answer may be lost.
func (r *raceSimulation) step(n int) {
	r.now = r.now.Add(time.Second)
	actor := r.rand.IntN(len(r.views))
	read := r.view(actor)
	vm := r.vm(read, r.vms[r.rand.IntN(len(r.vms))])
	change := core.ChangeID(fmt.Sprintf("change%d", n))
	tx, err := r.decide(read, vm, change)
	if err != nil || len(tx.Writes) == 0 {
		return
	}
	err = r.transact(vm.Ref, tx)
	if errors.Is(err, table.ErrOutcomeUnknown) {
		// The actor reads again and repeats the same change.
		r.views[actor] = nil
		read = r.view(actor)
		if vm = r.vm(read, vm.Ref); vm.VM.State != Serving && vm.VM.Change != change {
			return
		}
		if tx, err = r.rules.Permit(r.now, vm, r.pool(read, vm.VM.Pool), Permit{Change: change}); err == nil && len(tx.Writes) > 0 {
			_ = r.transact(vm.Ref, tx)
		}
	}
}

func (r *raceSimulation) decide(read reader, vm VMRow, change core.ChangeID) (table.Transaction, error) {
	pool := r.pool(read, vm.VM.Pool)
	if r.rand.IntN(12) == 0 {
		return r.rules.Fail(r.now, vm, pool)
	}
	switch vm.VM.State {
	case Serving:
		p := Permit{Change: change}
		if r.rand.IntN(3) == 0 {
			p.MoveTo = []core.PoolID{"a", "b", "spare"}[r.rand.IntN(3)]
		}
		return r.rules.Permit(r.now, vm, pool, p)
	case Cordoned:
		return r.rules.Drain(r.now, vm, r.now.Add(2*time.Second))
	case Draining:
		tx, err := r.rules.Stop(r.now, vm, pool, r.now.Add(3*time.Second), r.now.Add(time.Minute))
		if core.ErrorCode(err) == core.CodeBudgetSpent {
			return r.rules.Withdraw(r.now, vm, pool)
		}
		return tx, err
	case Stopped:
		if vm.VM.MoveTo != "" {
			return r.rules.Join(r.now, vm, pool, r.pool(read, vm.VM.MoveTo))
		}
		return r.rules.Verify(r.now, vm, r.now.Add(time.Minute))
	case Failed:
		return r.rules.Verify(r.now, vm, r.now.Add(time.Minute))
	}
	return r.rules.Return(r.now, vm, pool, time.Time{})
}

// transact applies tx, checks the budget, and loses one answer in four.
func (r *raceSimulation) transact(ref Ref, tx table.Transaction) error {
	before := r.vm(r.table.Read, ref).VM
	if err := r.table.Transact(tx); err != nil {
		return err
	}
	after := r.vm(r.table.Read, ref).VM
	if before.State == Serving && after.State == Cordoned {
		r.permits[after.Change]++
	}
	if after.State == Cordoned || before.State == Draining && after.State == Stopped {
		r.checkBudget(ref, after)
	}
	if r.rand.IntN(4) == 0 {
		return table.ErrOutcomeUnknown
	}
	return nil
}

// checkBudget compares the number of serving VMs that the pool lacks with its budget. It
// counts them by the VMs' rows alone.
func (r *raceSimulation) checkBudget(ref Ref, vm VM) {
	serving := 0
	for _, other := range r.vms {
		if o := r.vm(r.table.Read, other).VM; o.Pool == vm.Pool && o.State == Serving {
			serving++
		}
	}
	if lacking := vmsPerPool - serving; lacking > budgets[vm.Pool] {
		r.breaches = append(r.breaches, fmt.Sprintf("VM %s of pool %s became %s: the pool lacks %d VMs", ref, vm.Pool, vm.State, lacking))
	}
}

// checkCounters compares the pools' counters with the VMs' rows, to find a VM that is
// counted by two pools or by none.
func (r *raceSimulation) checkCounters() error {
	for id := range budgets {
		members, out := 0, 0
		for _, ref := range r.vms {
			if vm := r.vm(r.table.Read, ref).VM; vm.Pool == id {
				members++
				if vm.State != Serving {
					out++
				}
			}
		}
		if p := r.pool(r.table.Read, id).Pool; p.Members != members || len(p.Out) != out {
			return errors.Errorf("pool %s counts %d members and %d out; the VMs' rows give %d and %d", id, p.Members, len(p.Out), members, out)
		}
	}
	for change, n := range r.permits {
		if n > 1 {
			return errors.Errorf("change %s was applied %d times", change, n)
		}
	}
	return nil
}

// runRaces returns in how many seeds a budget was exceeded, and in how many a counter was
// wrong.
func runRaces(t *testing.T, seeds uint64, rules Rules) (breaches, miscounts int) {
	for seed := range seeds {
		r := newRaceSimulation(t, seed, rules)
		var err error
		for n := range 300 {
			r.step(n)
			if n%20 == 19 && err == nil {
				err = r.checkCounters()
			}
		}
		if len(r.breaches) > 0 {
			breaches++
		}
		if err != nil {
			miscounts++
		}
		if rules == (Rules{}) {
			assert.NilError(t, err, "seed %d", seed)
			assert.Assert(t, len(r.breaches) == 0, "seed %d: %v", seed, r.breaches)
		}
	}
	return breaches, miscounts
}

// TestConcurrentTransactions guards against a pool with fewer serving VMs than its budget
// allows, and against a VM that two pools count. Controllers and operators act
// concurrently on stale views: permits, moves, failures and returns interleave, and
// answers are lost after the write took effect. Every transaction checks the rows of the
// VM and the pool, so only one of two transactions that were decided on the same state
// takes effect.
func TestConcurrentTransactions(t *testing.T) {
	runRaces(t, 300, Rules{})
}

// TestConcurrentTransactionSafeguardsAreNeeded checks that each safeguard is needed:
// without the safeguard, some seed exceeds a budget or gets a counter wrong.
func TestConcurrentTransactionSafeguardsAreNeeded(t *testing.T) {
	const seeds = 100
	for _, c := range []struct {
		name  string
		rules Rules
	}{
		{"no budget check at the permit", Rules{noBudgetCheck: true}},
		{"pool row not checked", Rules{noPoolCheck: true}},
		{"no budget check at the stop", Rules{noStopBudgetCheck: true}},
		{"failures not counted", Rules{noFailureCount: true}},
	} {
		breaches, miscounts := runRaces(t, seeds, c.rules)
		t.Logf("%s: %d of %d seeds exceeded a budget, %d got a counter wrong", c.name, breaches, seeds, miscounts)
		assert.Assert(t, breaches+miscounts > 0, c.name)
	}
}

// TestConcurrentOperatorChanges covers an operator's command that repeats a change whose
// answer was lost, while another operator moves the same VM. The repetition is recognised
// by its change id, and the second operator gets a conflict. A deletion of the pool and a
// reduction of its budget also run concurrently with the move.
func TestConcurrentOperatorChanges(t *testing.T) {
	r := newRaceSimulation(t, 1, Rules{})
	read := r.table.Read
	vm, a := r.vm(read, Ref{"z", "a0"}), r.pool(read, "a")
	r.commit(t)(r.rules.Permit(r.now, vm, a, Permit{Change: "one", MoveTo: "b", Resize: true}))

	again, err := r.rules.Permit(r.now, r.vm(read, vm.Ref), r.pool(read, "a"), Permit{Change: "one", MoveTo: "b"})
	assert.NilError(t, err)
	assert.Equal(t, len(again.Writes), 0)
	_, err = r.rules.Permit(r.now, r.vm(read, vm.Ref), r.pool(read, "a"), Permit{Change: "two", MoveTo: "spare"})
	assert.Equal(t, core.ErrorCode(err), core.CodeConflict)

	r.commit(t)(SetPool(r.pool(read, "a"), 1, false))
	_, err = r.rules.Permit(r.now, r.vm(read, Ref{"z", "a1"}), r.pool(read, "a"), Permit{Change: "three"})
	assert.Equal(t, core.ErrorCode(err), core.CodeBudgetSpent)
	_, err = DeletePool(r.pool(read, "a"))
	assert.Equal(t, core.ErrorCode(err), core.CodeConflict)

	// The move completes: drain, stop, join, return. The sizes of both pools change with it.
	r.commit(t)(r.rules.Drain(r.now, r.vm(read, vm.Ref), r.now))
	r.commit(t)(r.rules.Stop(r.now, r.vm(read, vm.Ref), r.pool(read, "a"), time.Time{}, r.now))
	r.commit(t)(r.rules.Join(r.now, r.vm(read, vm.Ref), r.pool(read, "a"), r.pool(read, "b")))
	assert.Equal(t, r.pool(read, "b").Pool.Unavailable(), 0)
	r.commit(t)(r.rules.Return(r.now, r.vm(read, vm.Ref), r.pool(read, "b"), time.Time{}))
	assert.Equal(t, r.pool(read, "a").Pool.Size, vmsPerPool-1)
	assert.Equal(t, r.pool(read, "b").Pool.Size, vmsPerPool+1)
	assert.NilError(t, r.checkCounters())
}

// TestReplacedVM covers a VM that is gone permanently and replaced by another one. The
// pool must lack a VM until the replacement was verified, and must allow no planned stop
// beyond its budget in the meantime.
func TestReplacedVM(t *testing.T) {
	r := newRaceSimulation(t, 1, Rules{})
	read := r.table.Read
	old, replacement := Ref{"z", "b0"}, Ref{"z", "b9"}
	r.commit(t)(r.rules.Fail(r.now, r.vm(read, old), r.pool(read, "b")))
	r.commit(t)(RemoveVM(r.vm(read, old), r.pool(read, "b"), false))
	_, err := r.rules.Permit(r.now, r.vm(read, Ref{"z", "b1"}), r.pool(read, "b"), Permit{Change: "stop"})
	assert.Equal(t, core.ErrorCode(err), core.CodeBudgetSpent)

	added := r.vm(read, replacement)
	added.VM.State = Verifying
	r.commit(t)(AddVM(r.now, added, r.pool(read, "b"), false))
	assert.Equal(t, r.pool(read, "b").Pool.Unavailable(), 1)
	_, err = AddVM(r.now, r.vm(read, replacement), r.pool(read, "a"), true)
	assert.Equal(t, core.ErrorCode(err), core.CodeConflict)
	r.commit(t)(r.rules.Return(r.now, r.vm(read, replacement), r.pool(read, "b"), time.Time{}))
	assert.Equal(t, r.pool(read, "b").Pool.Unavailable(), 0)
}

// TestRemoveVMBeforeItServed covers an operator who adds a VM that is verified first, and
// then removes it with shrink. The pool's size must be as before, because it includes the
// VM only once the VM serves. If it were one less, the budget would allow one VM too many
// to be taken out.
func TestRemoveVMBeforeItServed(t *testing.T) {
	for _, fail := range []bool{false, true} {
		r := newRaceSimulation(t, 1, Rules{})
		read := r.table.Read
		newRef, before := Ref{"z", "b9"}, r.pool(read, "b").Pool
		added := r.vm(read, newRef)
		added.VM.State = Verifying
		r.commit(t)(AddVM(r.now, added, r.pool(read, "b"), true))
		if fail {
			r.commit(t)(r.rules.Fail(r.now, r.vm(read, newRef), r.pool(read, "b")))
		}
		r.commit(t)(RemoveVM(r.vm(read, newRef), r.pool(read, "b"), true))
		after := r.pool(read, "b").Pool
		assert.Equal(t, after.Size, before.Size)
		assert.Equal(t, after.Headroom(), before.Headroom())
	}
}
