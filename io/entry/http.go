package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"lavenderpond/io/inbound"
	"lavenderpond/io/supervisor"
)

// Limits of the HTTP server. They keep a caller that sends slowly, or nothing at all,
// from holding a connection forever.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 15 * time.Second
	idleTimeout   = 2 * time.Minute
	// bodyFactor is the memory that a body takes, as a multiple of its length: while it is received, and
	// decoded from JSON.
	bodyFactor = 6
)

// Paths that are served in addition to the Connect services.
const (
	pathReady   = "/ready"
	pathMetrics = "/metrics"
)

// HTTPServer serves callers, operators, metrics and readiness on one listener.
type HTTPServer struct {
	Mux     *http.ServeMux
	Metrics metrics.Registry
	// Guard bounds what clients make the daemon hold.
	Guard *inbound.Guard
	// Ready reports whether a load balancer should send callers to this entry. If it
	// is nil, the entry is always ready.
	Ready func() bool
	// Aborted, if set, ends the grace period of Serve early when it is canceled.
	Aborted context.Context

	server *http.Server
}

// Serve serves HTTP requests on l until ctx ends. Then it closes l and returns once all
// requests in progress have been answered, or when the grace period is over.
func (h *HTTPServer) Serve(ctx context.Context, l net.Listener, grace time.Duration) error {
	h.Mux.HandleFunc("GET "+pathReady, h.ready)
	h.Mux.HandleFunc("GET "+pathMetrics, h.metrics)
	h.server = h.Guard.Server(h.Mux, inbound.ServerOptions{Header: headerTimeout, Body: bodyTimeout, Idle: idleTimeout, BodyFactor: bodyFactor})
	var g supervisor.Group
	g.Go(func() {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(h.abortContext(), grace)
		defer cancel()
		_ = h.server.Shutdown(ctx)
		_ = h.server.Close()
	})
	err := h.server.Serve(h.Guard.HTTPListener(l))
	g.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

func (h *HTTPServer) abortContext() context.Context {
	if h.Aborted == nil {
		return context.Background()
	}
	return h.Aborted
}

func (h *HTTPServer) ready(w http.ResponseWriter, _ *http.Request) {
	if h.Ready == nil || h.Ready() {
		_, _ = io.WriteString(w, "ready\n")
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

func (h *HTTPServer) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(h.Metrics, w)
}
