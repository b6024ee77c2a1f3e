package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform/standin"
)

// Names in the deployment of the cases.
const (
	servicePool = "granite-obs"
	host        = "granite.example"
	pathPrefix  = "/jobs/"
)

var zones = []string{"brisbane-a", "toowoomba-b", "goldcoast-c"}

// Keys of the two tenants.
const (
	keyA = "key-of-tenant-a"
	keyB = "key-of-tenant-b"
)

// configuration has one queue, two tenants without a cap and a service that enforces capacity.
const configuration = `{"version":7,"routes":[{"name":"r-jobs","host":"` + host + `","path_prefix":"` + pathPrefix + `","kind":"unsafe","timeout_ms":3000,` +
	`"target_latency_ms":600,"priority":0,"service":"` + servicePool + `","attempts":4,"stretch":1.6,"public":false}],` +
	`"services":[{"name":"` + servicePool + `","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":30000},` +
	`"tenants":[{"name":"tenant-a","api_keys":["` + keyA + `"],"weight":8,"cap":{"cpu":0,"mem_mb":0,"gpu":0}},` +
	`{"name":"tenant-b","api_keys":["` + keyB + `"],"weight":8,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}]}`

// world is the deployment of a case: stand-ins, daemons and the record of what they saw.
type world struct {
	folder   string
	table    *standin.Table
	machines *standin.Machines
	workers  []*worker
	daemons  []*daemon
	group    supervisor.Group
	servers  []*http.Server
	ended    atomic.Bool

	machinesAddress string
	// lastWriter is the name of the daemon that last wrote to the store under a condition.
	lastWriter atomic.Value

	refusedCalls atomic.Int64
	// largestCall is the size in bytes of the largest transaction, peakMB the largest resident
	// memory of a process.
	largestCall, peakMB atomic.Int64

	started time.Time
	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	// begun and done count the runs of each job by ID: those that have begun, and those that ended
	// done. active counts the runs that are on workers, of each job and of all.
	begun, done, active map[string]int
	running             int
	// taskRuns counts the runs of each task that are on workers, and lastRun is when the last one
	// of them ended.
	taskRuns map[string]int
	lastRun  map[string]time.Time
}

func newWorld(recordFile string) (*world, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, errors.Wrap(err, "create record")
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Wrap(err, "create temporary folder")
	}
	w := &world{
		folder: folder, table: standin.NewTable(), machines: &standin.Machines{}, started: time.Now(), file: f, record: bufio.NewWriter(f),
		begun: map[string]int{}, done: map[string]int{}, active: map[string]int{},
		taskRuns: map[string]int{}, lastRun: map[string]time.Time{},
	}
	if w.machinesAddress, err = w.serve(w.machines); err != nil {
		return nil, err
	}
	w.table.Put(configurationRow, []byte(configuration))
	return w, nil
}

// serve serves h at a free loopback address until the world closes.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen on loopback")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)
	w.group.Go(func() { _ = s.Serve(l) }) // Returns when the world closes.
	return l.Addr().String(), nil
}

// listMachines publishes the machines of the workers.
func (w *world) listMachines() {
	var list []job.Machine
	for _, v := range w.workers {
		list = append(list, job.Machine{
			ID: job.MachineID(v.machine), Pool: servicePool, State: job.MachineUp, Zone: job.ZoneName(v.zone), VM: job.VMID(v.id),
			Capacity: job.Resources{CPU: v.cpu, MemMB: v.memMB},
		})
	}
	w.machines.Set(list)
}

func (w *world) closed() bool { return w.ended.Load() }

// endOnSignal makes a signal that ends this process end all processes that it started as well.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var g supervisor.Group
	g.Go(func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	})
}

// close ends all processes and servers that the world started.
func (w *world) close() {
	w.ended.Store(true)
	for _, d := range w.daemons {
		d.end()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.group.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.folder)
}

// logf writes a line with the time since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeLine(format, args...)
}

func (w *world) writeLine(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

func (w *world) runStarted(v *worker, task string, attempt int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun[jobOf(task)]++
	w.active[jobOf(task)]++
	w.running++
	w.taskRuns[task]++
	w.writeLine("worker %s: start %s attempt %d", v.id, task, attempt)
}

func (w *world) runEnded(v *worker, task string, attempt int64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[jobOf(task)]--
	w.running--
	w.taskRuns[task]--
	w.lastRun[task] = time.Now()
	if how == "done" {
		w.done[jobOf(task)]++
	}
	w.writeLine("worker %s: end %s attempt %d %s", v.id, task, attempt, how)
}

// counts returns how many runs of a job have begun, ended done and are active, and how many runs
// of all jobs are active.
func (w *world) counts(id string) (begun, done, active, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun[id], w.done[id], w.active[id], w.running
}

// taskActive reports whether a task runs on a worker, and when its last run ended.
func (w *world) taskActive(task string) (active bool, lastRun time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.taskRuns[task] > 0, w.lastRun[task]
}

func (w *world) noteTransaction(size int) { raise(&w.largestCall, int64(size)) }

func (w *world) notePeak(mb int) { raise(&w.peakMB, int64(mb)) }

// raise raises a to v if it is lower.
func raise(a *atomic.Int64, v int64) {
	for {
		old := a.Load()
		if v <= old || a.CompareAndSwap(old, v) {
			return
		}
	}
}

// leader returns the daemon that last wrote to the store under a condition.
func (w *world) leader() *daemon {
	for _, d := range w.daemons {
		if d.name == w.lastWriter.Load() {
			return d
		}
	}
	return nil
}
