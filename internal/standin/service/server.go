// Package service is a stand-in for a plain HTTP service whose calls must not be
// repeated. It counts the calls it ran by idempotency key and injects faults.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewell/primrosewell/internal/standin/faultserver"
)

const maxBodyBytes = 16 << 20

// Options configure the service.
type Options struct {
	// Delay is the duration of each call.
	Delay time.Duration
}

// Faults selects the faults that the service injects; the zero value injects none.
type Faults struct {
	// CrashAfterRun crashes the service after it ran a call, before the response.
	CrashAfterRun bool `json:"crash_after_run,omitempty"`
	// DropAfterRun closes the connection after the call ran, before the response.
	DropAfterRun bool `json:"drop_after_run,omitempty"`
	// DownMS is how long the service refuses connections after a crash, in milliseconds;
	// negative means forever.
	DownMS int `json:"down_ms,omitempty"`
	// Refuse responds with 503 before the call runs.
	Refuse bool `json:"refuse,omitempty"`
	// Silent sends no response to a call that ran and keeps the connection open.
	Silent bool `json:"silent,omitempty"`
	// Half closes the connection in the middle of the response body.
	Half bool `json:"half,omitempty"`
	// Times limits how many calls get a fault; zero means no limit.
	Times int `json:"times,omitempty"`
}

// Run records one call that reached the service; Refused means that it got status 503
// and did not run.
type Run struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Digest         string    `json:"digest"`
	Started        time.Time `json:"started"`
	Refused        bool      `json:"refused"`
}

// Response is the body of every successful response.
type Response struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query"`
	Digest  string `json:"digest"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Server is a stand-in service. Its methods are safe for concurrent use.
type Server struct {
	options Options
	http    *faultserver.Server

	inFlight atomic.Int64

	mu          sync.Mutex
	faults      Faults
	faultsFired int
	leaving     bool
	runs        []Run
}

// New returns a service that is not serving yet.
func New(options Options) *Server {
	s := &Server{options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("POST /control/leave", func(http.ResponseWriter, *http.Request) { s.Leave() })
	mux.HandleFunc("POST /control/faults", s.controlFaults)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("/", s.handleCall)
	s.http = faultserver.New(mux)
	return s
}

// Serve runs the service on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error { return s.http.Serve(ctx, ln) }

// Runs returns copies of all run records, in order of arrival.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// RunsByKey counts the calls that ran under each idempotency key.
func (s *Server) RunsByKey() map[string]int {
	counts := map[string]int{}
	for _, r := range s.Runs() {
		if r.IdempotencyKey != "" && !r.Refused {
			counts[r.IdempotencyKey]++
		}
	}
	return counts
}

// Leave makes the service report that it is about to shut down. It still accepts calls.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// SetFaults replaces the active faults and resets the count for Times.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.faultsFired = f, 0
}

// Crash resets all connections at once and refuses new ones for downFor; negative means
// forever.
func (s *Server) Crash(downFor time.Duration) { s.http.Crash(downFor) }

func (s *Server) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // connection ended or body too large; the call is not recorded.
	}
	run := Run{
		RequestID: r.Header.Get("X-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Digest: Digest(body), Started: time.Now(),
	}
	faults, leaving := s.recordRun(&run)
	if run.Refused {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused before starting", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(s.options.Delay):
	case <-r.Context().Done():
		return
	}
	s.respond(w, r, run, faults, leaving)
}

// metrics serves the load in the Prometheus text format.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	value := 0
	if leaving {
		value = 1
	}
	_, _ = fmt.Fprintf(w, "# TYPE requests_in_flight gauge\nrequests_in_flight %d\n# TYPE endpoint:leaving gauge\nendpoint:leaving %d\n",
		s.inFlight.Load(), value)
}

// recordRun records the run and returns the faults to inject into it, and whether the
// service is about to shut down.
func (s *Server) recordRun(run *Run) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Times > 0 && s.faultsFired >= f.Times {
		f = Faults{}
	}
	if f != (Faults{}) {
		s.faultsFired++
	}
	run.Refused = f.Refuse
	s.runs = append(s.runs, *run)
	return f, s.leaving
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, run Run, f Faults, leaving bool) {
	switch {
	case f.CrashAfterRun:
		s.Crash(time.Duration(f.DownMS) * time.Millisecond)
		panic(http.ErrAbortHandler)
	case f.DropAfterRun:
		panic(http.ErrAbortHandler)
	case f.Silent:
		<-r.Context().Done()
		return
	}
	data, _ := json.Marshal(Response{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Digest: run.Digest, Leaving: leaving})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.Half {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// Digest returns the hash that identifies a body in records and responses, in hexadecimal.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
