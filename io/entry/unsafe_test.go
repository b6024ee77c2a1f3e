package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/home"
	"lavenderpond/core/limit"
	"lavenderpond/core/shard"
	"lavenderpond/io/target"
	"lavenderpond/io/target/standin"
)

// apply switches safeguards of a daemon off, before it runs.
func (o safeguardsOff) apply(d *Daemon) {
	if o.shardLeases {
		d.front.Leases = alwaysHolder{}
		d.requests.home.Leases = alwaysHolder{}
	}
	if o.allotments {
		d.requests.home.Limiter = noLimit{d.requests.home.Limiter}
	}
	if o.keyChecks {
		d.front.Authorizer = allowAll{}
		d.requests.home.Config = anyKey{d.requests.home.Config}
	}
	if o.leavingRefusals {
		d.requests.OnDispatchEnded = func(core.VMID, time.Time, home.End) {}
	}
}

// handler returns a VM's handler, whose answers pass every check if the test says so.
func (o safeguardsOff) handler(vm *standin.VM) http.Handler {
	if !o.answerChecks {
		return vm.Handler()
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vm.Handler().ServeHTTP(forgedWriter{w, strings.TrimPrefix(r.URL.Path, "/tasks/")}, r)
	})
}

// forgedWriter names the task that was asked for, and states the length that comes.
type forgedWriter struct {
	http.ResponseWriter
	task string
}

// Write implements http.ResponseWriter.
func (w forgedWriter) Write(p []byte) (int, error) {
	w.Header().Set(target.HeaderTask, w.task)
	w.Header().Set(target.HeaderLength, strconv.Itoa(len(p)))
	return w.ResponseWriter.Write(p)
}

// alwaysHolder lets an entry decide about every id, without a mirror.
type alwaysHolder struct{}

// Decide implements Holders and home.ShardLeases.
func (alwaysHolder) Decide(now time.Time, _ core.RequestKey, _, deadline time.Time) shard.Verdict {
	return shard.Run{StartBy: deadline}
}

// LeaseExpiry implements home.ShardLeases.
func (alwaysHolder) LeaseExpiry(now time.Time, _ core.RequestKey) time.Time {
	return now.Add(time.Hour)
}

// Start implements home.ShardLeases.
func (alwaysHolder) Start(time.Time, shard.Start) bool { return true }

// anyKey takes every key.
type anyKey struct{ home.Configuration }

// KeyGood implements home.Configuration.
func (anyKey) KeyGood(time.Time, core.TeamID, core.KeyDigest) (core.Code, bool) { return 0, true }

// noLimit allows every start.
type noLimit struct{ limit.Limiter }

// Acquire implements limit.Limiter.
func (noLimit) Acquire(time.Time, core.RequestKey, time.Time) bool { return true }
