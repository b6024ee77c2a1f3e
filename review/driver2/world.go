package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// Names in the configuration of the deployment.
const (
	queueHost  = "pule25.example"
	pathPrefix = "/puxa400/"
	apiKey     = "key-of-tenant-one"
	tenantName = "tenant-one"
	pool       = "granite-obs"
	otherPool  = "darling-obs"
	adviceHost = "pule26.example"
	otherHost  = "pule27.example"
)

// maxDuration bounds a case. It leaves time to end the processes within two minutes.
const maxDuration = 112 * time.Second

var zones = []string{"brisbane-a", "toowoomba-b", "goldcoast-c"}

// world is the deployment: the stand-ins and the daemons under test.
type world struct {
	started time.Time
	ctx     context.Context
	end     func()
	group   supervisor.Group
	folder  string

	table        *standin.Table
	tableAddress string
	cloudAddress string
	// adviceAddress is that of the advice service; empty if there is none.
	adviceAddress string
	servers       []*http.Server
	machines      []*machine
	edges         []*edge
	client        *http.Client

	recordMu sync.Mutex
	out      *os.File

	mu   sync.Mutex
	jobs map[string]*submission
	// starts counts the runs that workers have begun, by task.
	starts map[string]int
}

func newWorld(recordPath string) (*world, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, errors.Wrap(err, "create record")
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, errors.Wrap(err, "create folder of settings")
	}
	w := &world{
		started: time.Now(), folder: folder, table: standin.NewTable(), out: out,
		jobs: map[string]*submission{}, starts: map[string]int{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	w.ctx, w.end = ctx, func() { cancel(); stop() }
	if w.tableAddress, err = w.serve(w.table); err != nil {
		return nil, err
	}
	w.cloudAddress, err = w.serve(http.HandlerFunc(w.serveCloud))
	return w, err
}

// record writes one line with the seconds since the start.
func (w *world) record(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	// A line that can't be written is missing from the record, which the case notices by its size.
	_, _ = fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all daemons and stand-ins.
func (w *world) close() {
	for _, e := range w.edges {
		e.kill()
	}
	w.end()
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, m := range w.machines {
		m.crash("the case is over")
	}
	w.group.Wait()
	_ = w.out.Close()
	_ = os.RemoveAll(w.folder)
}

// sleep waits, or returns early if the case is over.
func (w *world) sleep(d time.Duration) { supervisor.Sleep(w.ctx, d) }

// serve serves h at a free loopback address until the world is closed.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen on loopback")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)
	w.group.Go(func() { _ = s.Serve(l) }) // Returns when the world is closed.
	return l.Addr().String(), nil
}

// The ports of daemons and workers lie below those that the kernel gives to outgoing connections, one of
// which could otherwise take the port of a process that restarts.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			defer l.Close() //nolint:errcheck // Nothing was written.
			return l.Addr().String(), nil
		}
	}
	return "", errors.New("no free port on loopback")
}

// serveCloud lists the machines and moves them between pools. There is no wave, so no other order can
// be valid.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/machines":
		rows := []map[string]any{}
		for _, m := range w.machines {
			rows = append(rows, m.listing())
		}
		writeJSON(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
	case "/machine-move":
		var in struct {
			Machine string `json:"machine"`
			Pool    string `json:"pool"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		status, reason := w.moveMachine(in.Machine, in.Pool)
		w.record("cloud: move of %s to %s by %s: %d %s", in.Machine, in.Pool, r.Header.Get("Duty-Holder"), status, reason)
		writeJSON(rw, status, map[string]any{"reason": reason})
	default:
		w.record("cloud: %s refused with 400", r.URL.Path)
		rw.WriteHeader(http.StatusBadRequest)
	}
}

// moveMachine moves a machine to a pool, where a new worker joins after the time of a move.
func (w *world) moveMachine(name, to string) (status int, reason string) {
	if to != pool && to != otherPool {
		return http.StatusBadRequest, ""
	}
	for _, m := range w.machines {
		if m.name == name {
			return m.move(to)
		}
	}
	return http.StatusBadRequest, ""
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// An error means that the peer has disconnected.
	_ = json.NewEncoder(rw).Encode(v)
}

// configure writes the configuration: a queue for each pool, and one whose steps need advice if withAdvice
// is set.
func (w *world) configure(withAdvice bool) {
	route := func(name, host, service string, advice any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path_prefix": pathPrefix, "service": service, "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "attempts": 4, "stretch": 1.6,
		}
		if advice != nil {
			r["advice"] = advice
		}
		return r
	}
	routes := []any{route("plain", queueHost, pool, nil), route("other", otherHost, otherPool, nil)}
	if withAdvice {
		routes = append(routes, route("advised", adviceHost, pool, map[string]any{"decide_ms": 20, "per_item_ms": 2, "valid_ms": 3000}))
	}
	b, err := json.Marshal(map[string]any{
		"version": 3, "routes": routes, "services": []any{
			map[string]any{"name": pool, "enforces_capacity": true}, map[string]any{"name": otherPool, "enforces_capacity": true},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey}, "weight": 20}},
	})
	if err != nil {
		panic(err) // The value is made of plain maps.
	}
	w.table.Put(platform.RowKey{Table: platform.OperatorTable, Key: "config"}, b)
}

// start starts the workers of each pool and the daemons, and waits until the daemons are ready.
func (w *world) start(workers, otherWorkers, edges int) error {
	for i := range workers + otherWorkers {
		p := pool
		if i >= workers {
			p = otherPool
		}
		m, err := w.addMachine(i, p)
		if err != nil {
			return err
		}
		m.boot()
	}
	for i := range edges {
		if err := w.addEdge(i); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := e.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	// Workers and their racks are known, and the owner is settled.
	w.sleep(3 * time.Second)
	return nil
}
