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

// apply disables the safeguards in a daemon that has not been started yet.
func (o disabledSafeguards) apply(d *Daemon) {
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

// handler returns the HTTP handler of a VM. If answerChecks is set, all of its answers
// pass the entry's checks.
func (o disabledSafeguards) handler(vm *standin.VM) http.Handler {
	if !o.answerChecks {
		return vm.Handler()
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vm.Handler().ServeHTTP(forgedWriter{w, strings.TrimPrefix(r.URL.Path, "/tasks/")}, r)
	})
}

// forgedWriter sets the headers that identify the task and the answer's length to match
// the request and the body, whatever the body is.
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

// alwaysHolder lets an entry decide about every id, without mirroring starts.
type alwaysHolder struct{}

// Decide implements LeaseDecider and home.ShardLeases.
func (alwaysHolder) Decide(now time.Time, _ core.RequestKey, _, deadline time.Time) shard.Verdict {
	return shard.Run{StartBy: deadline}
}

// LeaseExpiry implements home.ShardLeases.
func (alwaysHolder) LeaseExpiry(now time.Time, _ core.RequestKey) time.Time {
	return now.Add(time.Hour)
}

// Start implements home.ShardLeases.
func (alwaysHolder) Start(time.Time, shard.Start) bool { return true }

// anyKey is a home.Configuration that accepts every key.
type anyKey struct{ home.Configuration }

// VerifyKey implements home.Configuration.
func (anyKey) VerifyKey(time.Time, core.TeamID, core.KeyDigest) (core.Code, bool) { return 0, true }

// noLimit is a limit.Limiter that allows every start.
type noLimit struct{ limit.Limiter }

// Acquire implements limit.Limiter.
func (noLimit) Acquire(time.Time, core.RequestKey, time.Time) bool { return true }
