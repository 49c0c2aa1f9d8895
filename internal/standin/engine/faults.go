package engine

import "time"

// Faults says how the engine misbehaves. The zero value is a sound engine. Faults
// that count tokens apply to the tokens of one answer at this engine.
type Faults struct {
	// Slowdown multiplies the time of each step and of the prefill; 10 is a straggler
	// at a tenth of its speed. Zero means 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// CrashAfterTokens crashes the engine once an answer has that many tokens.
	CrashAfterTokens int `json:"crash_after_tokens,omitempty"`
	// CrashOnArrival crashes the engine when it has read a request.
	CrashOnArrival bool `json:"crash_on_arrival,omitempty"`
	// PoisonMarker crashes the engine when it runs a prompt that contains the marker.
	PoisonMarker string `json:"poison_marker,omitempty"`
	// DownMS is how long the engine refuses connections after a crash, in milliseconds;
	// negative means for good.
	DownMS int `json:"down_ms,omitempty"`
	// SilentAfterTokens stops sending, with the connection open.
	SilentAfterTokens int `json:"silent_after_tokens,omitempty"`
	// SilentOnArrival never answers.
	SilentOnArrival bool `json:"silent_on_arrival,omitempty"`
	// HalfAfterTokens ends the stream without an end mark.
	HalfAfterTokens int `json:"half_after_tokens,omitempty"`
	// CrossedAfterTokens sends chunks with the id of another answer.
	CrossedAfterTokens int `json:"crossed_after_tokens,omitempty"`
	// DoubledAfterTokens starts the answer again under the same id, mid-way.
	DoubledAfterTokens int `json:"doubled_after_tokens,omitempty"`
	// Doubled starts the answer again after its finish reason.
	Doubled bool `json:"doubled,omitempty"`
	// GarbageAfterTokens sends bytes that are no chunk.
	GarbageAfterTokens int `json:"garbage_after_tokens,omitempty"`
	// Refuse answers new work with 503 before it starts.
	Refuse bool `json:"refuse,omitempty"`
	// Times is how often a fault that ends an answer fires; zero means always.
	Times int `json:"times,omitempty"`
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.fired = 0
}

// Crash aborts all connections at once and refuses new ones for downFor.
func (s *Server) Crash(downFor time.Duration) {
	s.mu.Lock()
	s.dropAll()
	s.mu.Unlock()
	s.http.Crash(downFor)
}

// fire reports whether a limited fault still fires, and counts it.
func (s *Server) fire() bool {
	if s.faults.Times > 0 && s.fired >= s.faults.Times {
		return false
	}
	s.fired++
	return true
}

// arrivalFault returns the fault that meets a request that has just been read.
func (s *Server) arrivalFault() (f Faults, hit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f = s.faults
	hit = (f.CrashOnArrival || f.SilentOnArrival || f.Refuse) && s.fire()
	return f, hit
}

// tokenFault names the fault that strikes after sent tokens of an answer.
func (s *Server) tokenFault(sent int) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	found := none
	switch sent {
	case 0:
	case f.CrashAfterTokens:
		found = crash
	case f.SilentAfterTokens:
		found = silence
	case f.HalfAfterTokens:
		found = half
	case f.CrossedAfterTokens:
		found = crossed
	case f.DoubledAfterTokens:
		found = doubled
	case f.GarbageAfterTokens:
		found = garbage
	}
	if found != none && !s.fire() {
		return none
	}
	return found
}

type fault int

const (
	none fault = iota
	crash
	silence
	half
	crossed
	doubled
	garbage
)

func (f Faults) downFor() time.Duration { return time.Duration(f.DownMS) * time.Millisecond }

func (f Faults) slowdown() float64 {
	if f.Slowdown <= 0 {
		return 1
	}
	return f.Slowdown
}
