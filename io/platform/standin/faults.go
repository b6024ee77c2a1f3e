package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"lavenderpond/core"
	"lavenderpond/io/platform"
)

// Faults describes how the stand-in's table and object store fail.
type Faults struct {
	// DownUntil is the end of an outage. Until then, requests are refused and change
	// nothing.
	DownUntil time.Time `json:"down_until,omitzero"`
	// SlowUntil is the end of a slowdown. Until then, each request is delayed by Delay.
	SlowUntil time.Time     `json:"slow_until,omitzero"`
	Delay     time.Duration `json:"delay,omitempty"`
	// LoseAnswers is how many transactions take effect without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// CutZones are the zones whose requests are refused, according to platform.ZoneHeader.
	// The refusals simulate a network partition.
	CutZones []core.ZoneID `json:"cut_zones,omitempty"`
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// withFaults wraps a handler so that the faults in force apply to it.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.takeFaults(r)
		if f.Delay > 0 {
			select {
			case <-time.After(f.Delay):
			case <-r.Context().Done():
				return
			}
		}
		if !f.DownUntil.IsZero() {
			http.Error(w, "table down", http.StatusServiceUnavailable)
			return
		}
		if f.LoseAnswers > 0 {
			next(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		next(w, r)
	}
}

// takeFaults returns the faults that apply to this request, and counts down the lost
// answers.
func (s *Server) takeFaults(r *http.Request) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var f Faults
	if now.Before(s.faults.SlowUntil) {
		f.Delay = s.faults.Delay
	}
	if now.Before(s.faults.DownUntil) {
		f.DownUntil = s.faults.DownUntil
	}
	for _, z := range s.faults.CutZones {
		if r.Header.Get(platform.ZoneHeader) == string(z) {
			f.DownUntil = now
		}
	}
	if r.Method == http.MethodPost && s.faults.LoseAnswers > 0 && f.DownUntil.IsZero() {
		s.faults.LoseAnswers--
		f.LoseAnswers = 1
	}
	return f
}
