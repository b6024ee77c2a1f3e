package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/io/platform"
)

// addressView holds, for each zone, the peer addresses that are replaced in the rows that
// its entries read. An entry publishes one address for all zones. With replacements, the
// connections from each zone to the entry go through a link of their own, so that a zone can
// be cut off from the other zones while its own entries still reach one another.
type addressView map[core.ZoneID][]replacement

type replacement struct{ from, to []byte }

// parseView parses views of the form ZONE=ADDRESS=SEEN, which means that entries of ZONE
// see SEEN in place of ADDRESS.
func parseView(views []string) (addressView, error) {
	v := make(addressView)
	for _, text := range views {
		parts := strings.Split(text, "=")
		if len(parts) != 3 {
			return nil, errors.Errorf("%q is not ZONE=ADDRESS=SEEN", text)
		}
		for _, address := range parts[1:] {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return nil, errors.Wrap(err, "view")
			}
		}
		quoted := func(address string) []byte { return []byte(`"peer":"` + address + `"`) }
		zone := core.ZoneID(parts[0])
		v[zone] = append(v[zone], replacement{from: quoted(parts[1]), to: quoted(parts[2])})
	}
	return v, nil
}

// handler returns a handler that serves next and replaces addresses in the rows that it
// returns, according to the zone of the caller.
func (v addressView) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		replacements := v[core.ZoneID(r.Header.Get(platform.ZoneHeader))]
		if len(replacements) == 0 || r.Method != http.MethodGet || r.URL.Path != platform.PathRows {
			next.ServeHTTP(w, r)
			return
		}
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		body := recorder.Body.Bytes()
		for _, rep := range replacements {
			body = bytes.ReplaceAll(body, rep.from, rep.to)
		}
		w.Header().Set("Content-Type", recorder.Header().Get("Content-Type"))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(body)
	})
}
