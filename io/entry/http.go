package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"lavenderpond/io/supervisor"
)

// Limits of the HTTP server. They keep a caller that sends slowly, or nothing at all,
// from holding a connection forever.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 15 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
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
	h.server = &http.Server{
		Handler:           withReadDeadline(h.Mux),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	var g supervisor.Group
	g.Go(func() {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(h.abortContext(), grace)
		defer cancel()
		_ = h.server.Shutdown(ctx)
		_ = h.server.Close()
	})
	err := h.server.Serve(l)
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

// withReadDeadline limits the time for reading a request's body. http.Server.ReadTimeout
// does not fit, because it would also disconnect callers that wait for an answer.
func withReadDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
		r.Body = &deadlineBody{ReadCloser: r.Body, onEOF: func() { _ = rc.SetReadDeadline(time.Time{}) }}
		next.ServeHTTP(w, r)
	})
}

// deadlineBody is a request body that calls onEOF once it has been read completely.
type deadlineBody struct {
	io.ReadCloser
	onEOF func()
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.onEOF()
	}
	return n, err
}
