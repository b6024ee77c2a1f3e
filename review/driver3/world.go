package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/io/link"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// world is the platform with its workers, and the daemons under test.
type world struct {
	mu       sync.Mutex
	folder   string
	record   *os.File
	begun    time.Time
	table    *standin.Table
	machines []*machine
	daemons  []*daemon
	ids      int
	guards   bool
	advice   string
	routes   string
	services string
	tenants  string
	// entries holds, by machine, the worker whose entry is in the store.
	entries map[string]string
	// faults are the broken rules.
	faults []string
	tasks  map[string]*taskRecord
	jobs   map[string]*jobRecord
	// approved reports whether a worker may run a step, and tickets holds what was issued.
	approved func(step, worker string) bool
	tickets  map[string]ticket
	validMS  int64
	trouble  time.Time
	// capCPU is the cap of the tenant with the key k2.
	capCPU int64
	// calm is the calm of the store.
	calm    calm
	servers []*http.Server
	// mbps is the bandwidth of the daemons' links to the store in Mbit/s; 0 means no limit.
	mbps float64
	// settings replaces text in the daemons' settings.
	settings *strings.Replacer
	// cancelMax is how long after its job's cancelling a task may start.
	cancelMax time.Duration
	// cloudOdds is the share of the orders for machines that get no answer.
	cloudOdds float64
	group     supervisor.Group
	// the latest wave, and which machines have begun their upkeep for it.
	waveNumber   int64
	waveAt       time.Time
	waveMachines []string
	upkept       map[string]bool
}

// calm tells since when nothing is disturbed.
type calm struct {
	disturbances int
	since        time.Time
}

// change adds a disturbance, or ends one; after the last one there is calm once a time has passed.
func (c *calm) change(n int, after time.Duration) {
	c.disturbances += n
	c.since = time.Now().Add(after)
}

// at reports whether there was calm at a time.
func (c *calm) at(t time.Time) bool { return c.disturbances == 0 && t.After(c.since) }

// ticket permits starts of a step on one life of a worker.
type ticket struct {
	born  int64
	until time.Time
}

// taskRecord is what happened to a task.
type taskRecord struct {
	live   map[string]time.Time
	done   *end
	doneAt time.Time
	noted  bool
	// failedEnds counts the runs that ended failed, and failures those of them that were taken note of.
	failedEnds, failures int
	starts               int
}

// jobRecord is what happened to a job.
type jobRecord struct {
	id                   string
	spec                 taskSpec
	steps                []map[string]any
	due                  time.Time
	interval             time.Duration
	times                int
	accepted, cancelSent time.Time
	cancelled, finished  time.Time
	state                string
	lasts, spec2         bool
	attempts             int
	queue                string
	key                  string
	// once is set if the client gives up once the job is refused, and refused once it has. unanswered is
	// set if the outcome of an attempt isn't known.
	once, refused, unanswered bool
}

func newWorld(folder string) (*world, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &world{
		folder: folder, record: f, begun: time.Now(), table: standin.NewTable(), entries: map[string]string{}, guards: true,
		settings: strings.NewReplacer(), cancelMax: 3 * time.Second, capCPU: 60_000,
		tasks: map[string]*taskRecord{}, jobs: map[string]*jobRecord{}, tickets: map[string]ticket{},
	}, nil
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken. The caller holds mu.
func (w *world) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.faults = append(w.faults, text)
	w.logf("BROKEN %s", text)
}

func (w *world) entryID(machine string) job.VMID { return job.VMID(w.entries[machine]) }

func (w *world) task(name string) *taskRecord {
	t := w.tasks[name]
	if t == nil {
		t = &taskRecord{live: map[string]time.Time{}}
		w.tasks[name] = t
	}
	return t
}

// started checks a start.
func (w *world) started(k *worker, r *run, late bool) {
	w.logf("start %s run %d on %s", r.task, r.attempt, k.id)
	t := w.task(r.task)
	t.starts++
	j := w.jobs[r.job]
	if j == nil {
		w.broken("UNASKED", "%s starts for a job that nobody sent", r.task)
		return
	}
	if !j.spec2 {
		for on := range t.live {
			w.broken("TWICE", "%s starts on %s while it runs on %s", r.task, k.id, on)
		}
		if t.done != nil && t.noted {
			w.broken("TWICE", "%s starts on %s after its end was taken note of", r.task, k.id)
		}
	}
	t.live[k.id] = time.Now()
	if j.refused {
		w.broken("REFUSED", "%s starts on %s, and its job was refused", r.task, k.id)
	}
	if j.key == "k2" {
		sum := int64(0)
		for _, m := range w.machines {
			if m.cur == nil {
				continue
			}
			for _, x := range m.cur.runs {
				if o := w.jobs[x.job]; o != nil && o.key == "k2" {
					sum += x.def().CPU
				}
			}
		}
		if limit := w.capCPU*11/10 + r.def().CPU; sum > limit {
			w.broken("QUOTA", "%s brings its tenant to %d of %d", r.task, sum, limit)
		}
	}
	if late {
		return
	}
	if t.failures >= j.attempts && !r.def().Lasts {
		w.broken("BUDGET", "%s starts after %d failures", r.task, t.failures)
	}
	if !j.due.IsZero() {
		if due := j.due.Add(time.Duration(r.k) * j.interval); time.Now().Before(due.Add(-250 * time.Millisecond)) {
			w.broken("ORDER", "%s starts before its time", r.task)
		}
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > w.cancelMax {
		w.broken("UNASKED", "%s starts %s after its job's cancelling was acknowledged", r.task, time.Since(j.cancelled).Round(time.Millisecond))
	}
	def := j.steps[r.step]
	if after, ok := def["after"].([]int); ok {
		for _, a := range after {
			for i := range j.spec.Steps[a].Count {
				x := w.tasks[fmt.Sprintf("%s.%d.%d.%d", r.job, r.k, a, i)]
				if !j.spec.Steps[a].Gang && (x == nil || x.done == nil) {
					w.broken("ORDER", "%s starts before step %d has ended", r.task, a)
				}
			}
		}
	}
	if n, ok := def["max_per_server"].(int); ok {
		same := 0
		for _, x := range k.runs {
			if x.job == r.job && x.k == r.k && x.step == r.step {
				same++
			}
		}
		if same > n {
			w.broken("ROUTE", "%s is run %d of its step on %s", r.task, same, k.id)
		}
	}
}

// ended records the end of a run. e is nil if the worker can't list it.
func (w *world) ended(k *worker, r *run, how string, e *end) {
	w.logf("end %s run %d on %s: %s", r.task, r.attempt, k.id, how)
	t := w.task(r.task)
	delete(t.live, k.id)
	if how == "done" {
		t.done, t.doneAt = e, time.Now()
	}
	if how == "failed" && e != nil {
		x := t
		if e.gang != "" {
			x = w.task(e.gang)
		}
		x.failedEnds++
	}
	if how == "alone" && time.Since(w.trouble) > 8*time.Second {
		if j := w.jobs[r.job]; j != nil && j.cancelSent.IsZero() {
			w.broken("GANG", "%s run %d on %s ends alone", r.task, r.attempt, k.id)
		}
	}
	if r.def().Gang && e != nil && how != "broken" && how != "alone" {
		for _, m := range w.machines {
			if m.cur == nil {
				continue
			}
			for _, x := range append([]*run(nil), m.cur.runs...) {
				if x != r && gangKey(x) == gangKey(r) {
					other := "broken"
					if how == "done" {
						other = "done"
					}
					m.cur.finish(x, other)
				}
			}
		}
	}
}

// noted records that an end was taken note of.
func (w *world) noted(k *worker, e *end) {
	t := w.task(e.task)
	if e.lapses != k.lapses {
		return
	}
	switch e.how {
	case "done":
		t.noted = true
	case "failed":
		if e.gang != "" {
			t = w.task(e.gang)
		}
		t.failures++
	}
}

// gangComplete reports whether all members of a run's gang are present.
func (w *world) gangComplete(r *run) bool {
	n := 0
	for _, m := range w.machines {
		if m.cur == nil {
			continue
		}
		for _, x := range m.cur.runs {
			if gangKey(x) == gangKey(r) {
				n++
			}
		}
	}
	return n >= r.def().Count
}

// ticketRefusal returns why a worker refuses a start for its ticket, or an empty string.
func (w *world) ticketRefusal(k *worker, r *run, value string) string {
	j := w.jobs[r.job]
	if j == nil || j.queue != "advised" {
		return ""
	}
	step := fmt.Sprintf("%s.%d.%d", r.job, r.k, r.step)
	t, ok := w.tickets[value]
	if !ok || !strings.HasPrefix(value, step+"/"+k.id+"/") || t.born != k.born || time.Now().After(t.until) {
		w.logf("ticket refused: %s on %s (%q)", r.task, k.id, value)
		return "ticket"
	}
	return ""
}

// adviser is the service that knows which workers may run a step.
type adviser struct{ w *world }

func (a adviser) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20*time.Millisecond + time.Duration(len(in.Workers))*time.Millisecond)
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	good := [][2]string{}
	for _, id := range in.Workers {
		if !a.w.approved(in.Step, id) {
			continue
		}
		for _, m := range a.w.machines {
			if m.cur != nil && m.cur.id == id {
				value := fmt.Sprintf("%s/%s/%d", in.Step, id, len(a.w.tickets))
				a.w.tickets[value] = ticket{m.cur.born, time.Now().Add(time.Duration(a.w.validMS) * time.Millisecond)}
				good = append(good, [2]string{id, value})
			}
		}
	}
	a.w.logf("advice for %s: %d of %d", in.Step, len(good), len(in.Workers))
	writeJSON(rw, http.StatusOK, map[string]any{"good": good, "valid_ms": a.w.validMS})
}

func writeJSON(rw http.ResponseWriter, status int, out any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(out) // The client may have gone.
}

// cloud is the machines service.
type cloud struct{ w *world }

func (c cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := c.w
	if r.URL.Path == "/machines" {
		w.mu.Lock()
		list := []map[string]any{}
		for _, m := range w.machines {
			if m.gone {
				continue
			}
			id := ""
			if m.cur != nil {
				id = m.cur.id
			}
			list = append(list, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
				"capacity": map[string]any{"cpu": m.cpu, "mem_mb": 65536, "gpu": 0}, "id": id,
			})
		}
		w.mu.Unlock()
		writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
		return
	}
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case rand.Float64() >= w.cloudOdds:
	case rand.IntN(3) == 0:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
		// The order is carried out and not answered.
		rw = silentWriter{rw}
		defer func() { panic(http.ErrAbortHandler) }()
	}
	for _, m := range w.machines {
		if m.name != o.Machine || m.gone {
			continue
		}
		w.logf("%s of %s by %s (fence %s)", r.URL.Path, m.name, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
		w.checkHolder(m, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
		upkeep := fmt.Sprint(o.Wave, "/", m.name)
		switch {
		case r.URL.Path == "/machine-upkeep" && w.upkept[upkeep]:
			writeJSON(rw, http.StatusOK, map[string]any{})
			return
		case r.URL.Path == "/machine-upkeep" && (o.Wave != w.waveNumber || !slices.Contains(w.waveMachines, m.name)):
			writeJSON(rw, http.StatusConflict, map[string]any{"reason": "wave"})
			return
		case r.URL.Path == "/machine-upkeep" && m.state == "up":
			away := 0
			for _, x := range w.machines {
				if x.state == "upkeep" {
					away++
				}
			}
			if away >= 2 {
				w.broken("LIMIT", "upkeep of %s begins while %d are down for theirs", m.name, away)
			}
			if w.upkept == nil {
				w.upkept = map[string]bool{}
			}
			w.upkept[upkeep] = true
			m.down("upkeep", "upkeep")
			time.AfterFunc(upkeepTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				m.boot("")
			})
			writeJSON(rw, http.StatusOK, map[string]any{})
			return
		}
		if r.URL.Path != "/machine-move" || m.state != "up" {
			writeJSON(rw, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		if m.pool != o.Pool {
			m.down("moving", "moved")
			m.pool = o.Pool
			time.AfterFunc(moveTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				m.boot("")
			})
		}
		writeJSON(rw, http.StatusOK, map[string]any{})
		return
	}
	rw.WriteHeader(http.StatusBadRequest)
}

// silentWriter drops an answer.
type silentWriter struct{ http.ResponseWriter }

func (silentWriter) WriteHeader(int) {}

func (silentWriter) Write(b []byte) (int, error) { return len(b), nil }

// checkHolder checks who gives orders for a machine. The caller holds mu.
func (w *world) checkHolder(m *machine, holder, token string) {
	fence, _ := strconv.ParseInt(token, 10, 64)
	if fence < m.fence || (fence == m.fence && m.holder != "" && holder != m.holder) {
		w.broken("ONE", "%s gets an order of %s with %d after one of %s with %d", m.name, holder, fence, m.holder, m.fence)
	}
	m.holder, m.fence = holder, fence
}

// serve serves h at a free loopback address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)
	w.group.Go(func() { _ = s.Serve(l) }) // Returns when the server is closed.
	return l.Addr().String(), nil
}

func freeAddress() (netip.AddrPort, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// addMachine adds a machine with a worker.
func (w *world) addMachine(name, pool, rack, zone string, cpu int64) (*machine, error) {
	m := &machine{w: w, name: name, pool: pool, rack: rack, zone: zone, cpu: cpu, slow: 1}
	addr, err := w.serve(m)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	m.addr = addr
	w.machines = append(w.machines, m)
	m.boot("")
	return m, nil
}

// daemon is a process of the system.
type daemon struct {
	w        *world
	name     string
	settings string
	front    netip.AddrPort
	store    *link.Link
	cmd      *exec.Cmd
	exited   chan struct{}
	// calm is the calm of the process and its links.
	calm calm
	// busy is held while a play stops or freezes the process.
	busy sync.Mutex
}

// settingsText is the settings file of a daemon.
const settingsText = `node = "%s"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "%s"
region = "r"
port_range = [%d, %d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "invoke"
advice = "%s"
[listen_addrs]
front = "%s"
ready = "%s"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 6000
stop_grace_ms = 400
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
remote_factor = 3
checkpoint_s = 1
restore_ms = 250
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
fencing_enforced = false
lease_ttl_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "%s"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 3.0
partition_writes_s = 300
row_bytes = 65536
across = true
history_s = 20
[cloud_api]
address = "%s"
rate_per_s = 64.0
duty_per_s = 64.0
`

// addDaemon writes the settings of a daemon.
func (w *world) addDaemon(ctx context.Context, name, zone, table, machines string) error {
	var a [4]netip.AddrPort
	for i := range a {
		var err error
		if a[i], err = freeAddress(); err != nil {
			return err
		}
	}
	if w.mbps > 0 {
		var err error
		if table, err = (&narrow{bytesPerSecond: w.mbps * 1e6 / 8}).serve(ctx, &w.group, table); err != nil {
			return err
		}
	}
	d := &daemon{w: w, name: name, front: a[0], store: link.New(name), settings: filepath.Join(w.folder, name+".toml")}
	f := link.Forward{Listen: a[3], Target: netip.MustParseAddrPort(table)}
	w.group.Go(func() { _ = d.store.Serve(ctx, f) }) // Returns when ctx ends.
	text := fmt.Sprintf(settingsText, name, zone, a[2].Port(), a[2].Port(), w.advice, a[0], a[1], a[3], machines)
	w.daemons = append(w.daemons, d)
	return os.WriteFile(d.settings, []byte(w.settings.Replace(text)), 0o600)
}

// start starts the daemon's process with the command of the deploy file.
func (d *daemon) start() error {
	out, err := os.OpenFile(filepath.Join(d.w.folder, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/lavenderpond-edge", "--policy", "deploy/policy.ini")
	c.Env = append(os.Environ(), "LAVENDERPOND_CONFIG="+d.settings)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.cmd, d.exited = c, exited
	d.w.group.Go(func() {
		_ = c.Wait() // A killed process returns an error.
		_ = out.Close()
		close(exited)
	})
	d.w.logf("daemon %s starts", d.name)
	return nil
}

// kill ends the daemon's process.
func (d *daemon) kill() {
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.exited
	d.w.logf("daemon %s is killed", d.name)
}

// restart starts the daemon again.
func (d *daemon) restart() {
	if err := d.start(); err != nil {
		d.w.logf("daemon %s doesn't start: %v", d.name, err)
	}
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.w.logf("daemon %s gets %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// owner returns the daemon that last took the ownership, as the store shows it.
func (w *world) owner() *daemon {
	r, ok := w.table.Get(platform.RowKey{Table: "lavenderpond_owner", Partition: "main", Key: "owner"})
	if !ok {
		return nil
	}
	var o struct {
		Node string `json:"node"`
	}
	if json.Unmarshal(r.Value, &o) != nil {
		return nil
	}
	for _, d := range w.daemons {
		if d.name == o.Node {
			return d
		}
	}
	return nil
}

// configure writes a configuration.
func (w *world) configure(version int) {
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[%s]}`,
		version, w.routes, w.services, w.tenants)
	w.table.Put(standin.ConfigurationRow, []byte(text))
}

// watchWaves checks each state of a wave that is published.
func (w *world) watchWaves(r platform.Row) {
	n, ok := standin.WaveNumber(r.RowKey)
	if !ok || r.Table != platform.StatusTable || r.Removed || !strings.Contains(string(r.Value), "completed") {
		return
	}
	w.group.Go(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.logf("wave %d is completed", n)
		for _, name := range w.waveMachines {
			if n == w.waveNumber && !w.upkept[fmt.Sprint(n, "/", name)] {
				w.broken("MIXED", "wave %d is said to be completed, and %s hasn't begun its upkeep", n, name)
			}
		}
	})
}

// run starts everything and advances the workers until ctx ends.
func (w *world) run(ctx context.Context, daemons int) error {
	table, err := w.serve(w.table)
	if err != nil {
		return err
	}
	machines, err := w.serve(cloud{w})
	if err != nil {
		return err
	}
	if w.advice, err = w.serve(adviser{w}); err != nil {
		return err
	}
	w.table.OnChange = w.watchWaves
	w.configure(1)
	for i := range daemons {
		if err := w.addDaemon(ctx, fmt.Sprintf("edge-%d", i), string(rune('a'+i%3)), table, machines); err != nil {
			return err
		}
	}
	w.group.Go(func() {
		last := time.Now()
		for ctx.Err() == nil {
			time.Sleep(workerTick)
			now := time.Now()
			w.mu.Lock()
			for _, m := range w.machines {
				if m.cur != nil {
					m.cur.tick(now.Sub(last))
				}
				m.beat()
			}
			w.mu.Unlock()
			last = now
		}
	})
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything.
func (w *world) close() {
	w.killAll()
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.group.Wait()
}

// killAll ends all processes.
func (w *world) killAll() {
	for _, d := range w.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			d.kill()
		}
	}
}
