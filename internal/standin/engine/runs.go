package engine

import "time"

// Run records one request that reached the engine.
type Run struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Digest         string `json:"digest"`
	Model          string `json:"model"`
	Priority       int    `json:"priority"`
	// Arrived is when the whole request had been read; Started is when it left the
	// engine's queue; Finished is when its handler ended.
	Arrived  time.Time `json:"arrived"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished"`
	// Tokens counts those produced by this run; Resumed those that it was given.
	Tokens  int `json:"tokens"`
	Resumed int `json:"resumed"`
	// Refused runs were turned away before they started.
	Refused   bool `json:"refused"`
	Cancelled bool `json:"cancelled"`
	Completed bool `json:"completed"`
}

// Runs returns a copy of every record, in order of arrival.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]Run, len(s.runs))
	for i, r := range s.runs {
		runs[i] = *r
	}
	return runs
}

func (s *Server) record(r *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

func (s *Server) finish(r *Run, change func(*Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Finished = time.Now()
	change(r)
}
