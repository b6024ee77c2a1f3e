package connectrpc

import (
	"encoding/json"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/io/inbound"
)

// errorBody is the body of an error response in the connect protocol.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// LimitBody refuses a request whose Content-Length is above limit, in bytes, before its
// body is read. A body of unknown length is bounded by the limit of the handler itself. A request that is
// given up while its body is read is answered as unavailable.
func LimitBody(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength <= limit {
			r.Body = &body{ReadCloser: r.Body}
			next.ServeHTTP(w, r)
			return
		}
		err := core.Errorf(core.CodeTooLarge, "the request has %d bytes, at most %d are allowed", r.ContentLength, limit)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_ = json.NewEncoder(w).Encode(errorBody{Code: "resource_exhausted", Message: err.Error()})
	})
}

// body is a request's body whose errors carry a numbered result code.
type body struct{ io.ReadCloser }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, inbound.ErrOverloaded) {
		err = connect.NewError(connect.CodeUnavailable, core.Errorf(core.CodeOverloaded, "%v", err))
	}
	return n, err
}
