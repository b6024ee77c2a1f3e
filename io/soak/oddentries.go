package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// oddEntryInterval is how often an odd entry of another writer is written or removed.
const oddEntryInterval = 300 * time.Millisecond

// oddNestingDepth is how deeply the nested odd entries are nested.
const oddNestingDepth = 100_000

// oddEntries writes entries of another writer among those of the VMs: before the daemons start, and
// again and again after that. Nobody may send anything to the address that they name.
type oddEntries struct {
	f      *fleet
	values []string
	next   int
}

// start writes all odd entries, and goes on to remove and write them until ctx ends.
func (o *oddEntries) start(ctx context.Context) error {
	address, err := o.f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.f.checker.Reportf("%s is sent to an odd entry of the directory", r.URL.Path)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	if err != nil {
		return err
	}
	o.values = oddEntryValues(address)
	for i := range o.values {
		o.write(i)
	}
	o.f.group.Go(func() { _ = supervisor.Every(ctx, oddEntryInterval, func(context.Context) { o.change() }) })
	return nil
}

// change removes an odd entry, or writes it again.
func (o *oddEntries) change() {
	i := o.next / 2 % len(o.values)
	if o.next%2 == 0 {
		o.f.table.Put(oddEntryRow(i), nil)
	} else {
		o.write(i)
	}
	o.next++
}

func (o *oddEntries) write(i int) { o.f.table.Put(oddEntryRow(i), []byte(o.values[i])) }

func oddEntryRow(i int) platform.RowKey { return standin.VMRow(job.VMID(fmt.Sprintf("odd-%d", i))) }

// oddEntryValues returns entries that name no VM to use, most of them with an address at which somebody
// listens.
func oddEntryValues(address netip.AddrPort) []string {
	entry := func(address, capacity, more string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","state":"ready","capacity":%s,"labels":["a"],"machine":"m-0"%s}`, standin.Pool, address, capacity, more)
	}
	const capacity = `{"cpu":8000,"mem_mb":8000}`
	at, host := address.String(), address.Addr().String()
	nested := strings.Repeat("[", oddNestingDepth) + strings.Repeat("]", oddNestingDepth)
	return []string{
		nested,
		entry(at, capacity, `,"more":`+nested),
		entry(at, `{"cpu":9223372036854775807,"mem_mb":9223372036854775807}`, `,"born":1`),
		entry(at, `{"cpu":1e400}`, ""),
		entry(at, `{"cpu":-1}`, ""),
		entry(at, capacity, `,"born":9223372036854775807`),
		entry(host+":99999", capacity, `,"born":1`),
		entry(host+":0", capacity, `,"born":1`),
		entry(host+":http", capacity, `,"born":1`),
		entry("%zz:80", capacity, `,"born":1`),
		strings.Replace(entry(at, capacity, ""), `"ready"`, `"retired"`, 1),
		strings.Replace(entry(at, capacity, ""), `"ready"`, `7`, 1),
		entry(at, `"many"`, ""),
		"\xff\xfe\x00",
		"null",
		"",
	}
}
