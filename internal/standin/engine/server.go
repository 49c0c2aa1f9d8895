package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/standin/faultserver"
)

// Server is a stand-in engine. Its methods are safe for concurrent use.
type Server struct {
	options Options
	http    *faultserver.Server
	wakeUp  chan struct{}

	mu          sync.Mutex
	faults      Faults
	faultsFired int
	leaving     bool
	running     []*sequence
	waiting     []*sequence
	arrivals    uint64
	runs        []*Run
	cache       *prefixCache
	lastReport  loadReport
}

// New returns an engine that is not serving yet.
func New(options Options) *Server {
	s := &Server{options: options.withDefaults(), wakeUp: make(chan struct{}, 1)}
	s.cache = newPrefixCache(s.options.CacheBlocks, s.options.EventGapEvery)
	s.http = faultserver.New(s.routes())
	return s
}

// Serve runs the engine on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go s.loop(ctx)
	return s.http.Serve(ctx, ln)
}

// Options returns the effective options, with defaults filled in.
func (s *Server) Options() Options { return s.options }

// Leave makes the engine report that it is about to shut down. It still accepts
// requests, so that a test can detect a router that keeps sending them.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.withResponseFields(s.chat))
	mux.HandleFunc("POST /v1/completions", s.withResponseFields(s.complete))
	mux.HandleFunc("GET /v1/models", s.listModels)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /kv_events", s.kvEvents)
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("POST /control/leave", func(w http.ResponseWriter, _ *http.Request) { s.Leave() })
	mux.HandleFunc("POST /control/faults", s.controlFaults)
	mux.HandleFunc("POST /control/crash", s.controlCrash)
	return mux
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request) {
	entries := lo.Map(s.options.Models, func(m string, _ int) modelEntry {
		return modelEntry{ID: m, Object: "model", OwnedBy: s.options.Name}
	})
	writeJSON(w, http.StatusOK, modelList{Object: "list", Data: entries})
}

// EventPage is the body of GET /kv_events.
type EventPage struct {
	Events []CacheEvent `json:"events"`
}

func (s *Server) kvEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	s.mu.Lock()
	page := EventPage{Events: s.cache.eventsSince(since, time.Now(), s.options.EventDelay)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, page)
}

func (s *Server) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(f)
}

// controlCrash crashes the engine and keeps it down for the milliseconds in the query
// parameter down_ms.
func (s *Server) controlCrash(_ http.ResponseWriter, r *http.Request) {
	downMS, _ := strconv.Atoi(r.URL.Query().Get("down_ms"))
	s.Crash(Faults{DownMS: downMS}.downFor())
	panic(http.ErrAbortHandler)
}

type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

type errorBody struct {
	Error apiError `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	kind := lo.Ternary(status < http.StatusInternalServerError, "invalid_request_error", "server_error")
	writeJSON(w, status, errorBody{apiError{Message: message, Type: kind, Code: status}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
