package connectrpc

import (
	"encoding/json"
	"net/http"

	"lavenderpond/core"
)

// errorBody is the body of an error response in the connect protocol.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// LimitBody refuses a request whose Content-Length is above limit, in bytes, before its
// body is read. A body of unknown length is bounded by the limit of the handler itself.
func LimitBody(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength <= limit {
			next.ServeHTTP(w, r)
			return
		}
		err := core.Errorf(core.CodeTooLarge, "the request has %d bytes, at most %d are allowed", r.ContentLength, limit)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_ = json.NewEncoder(w).Encode(errorBody{Code: "resource_exhausted", Message: err.Error()})
	})
}
