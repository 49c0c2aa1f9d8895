package engine

import (
	"net/http"
	"time"
)

// Faults selects the faults that the engine injects; the zero value injects none. Token
// counts refer to the tokens that this engine has sent of one streamed response.
type Faults struct {
	// Slowdown multiplies the step time and the prefill time; 10 makes the engine run
	// at a tenth of its speed. Zero means 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// CrashAfterTokens crashes the engine once it has sent that many tokens of a response.
	CrashAfterTokens int `json:"crash_after_tokens,omitempty"`
	// CrashOnArrival crashes the engine after it has read a request, before it responds.
	CrashOnArrival bool `json:"crash_on_arrival,omitempty"`
	// PoisonMarker crashes the engine when a prompt that contains the marker runs.
	PoisonMarker string `json:"poison_marker,omitempty"`
	// DownMS is how long the engine refuses connections after a crash, in milliseconds;
	// negative means forever.
	DownMS int `json:"down_ms,omitempty"`
	// SilentAfterTokens stops sending and keeps the connection open.
	SilentAfterTokens int `json:"silent_after_tokens,omitempty"`
	// SilentOnArrival sends no response and keeps the connection open.
	SilentOnArrival bool `json:"silent_on_arrival,omitempty"`
	// HalfAfterTokens ends the stream without a finish reason or [DONE].
	HalfAfterTokens int `json:"half_after_tokens,omitempty"`
	// CrossedAfterTokens sends one chunk with the id of another response.
	CrossedAfterTokens int `json:"crossed_after_tokens,omitempty"`
	// DoubledAfterTokens sends the first chunks again under the same id, mid-stream.
	DoubledAfterTokens int `json:"doubled_after_tokens,omitempty"`
	// Doubled sends the first token again after the finish reason.
	Doubled bool `json:"doubled,omitempty"`
	// GarbageAfterTokens sends an event whose data is not valid JSON.
	GarbageAfterTokens int `json:"garbage_after_tokens,omitempty"`
	// Refuse responds to new requests with 503 before they start.
	Refuse bool `json:"refuse,omitempty"`
	// ResponseFields are header fields of each response to a completion request, refusals included: that
	// the engine leaves, a time without requests, or a limit, by the names that the reader knows.
	ResponseFields map[string]string `json:"response_fields,omitempty"`
	// Times limits how often the faults on arrival and after tokens are injected; zero
	// means no limit.
	Times int `json:"times,omitempty"`
}

// SetFaults replaces the active faults and resets the count for Times.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.faultsFired = 0
}

// withResponseFields adds the response fields of the active faults.
func (s *Server) withResponseFields(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fields := s.faults.ResponseFields
		s.mu.Unlock()
		for name, value := range fields {
			w.Header().Set(name, value)
		}
		next(w, r)
	}
}

// Crash aborts all sequences, resets all connections and refuses new ones for downFor;
// negative means forever.
func (s *Server) Crash(downFor time.Duration) {
	s.mu.Lock()
	s.abortAll()
	s.mu.Unlock()
	s.http.Crash(downFor)
}

// consumeFault reports whether Times permits another fault, and counts it. The caller
// holds s.mu.
func (s *Server) consumeFault() bool {
	if s.faults.Times > 0 && s.faultsFired >= s.faults.Times {
		return false
	}
	s.faultsFired++
	return true
}

// arrivalFault returns the active faults and whether one of them applies to a request
// that has just been read.
func (s *Server) arrivalFault() (f Faults, hit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f = s.faults
	hit = (f.CrashOnArrival || f.SilentOnArrival || f.Refuse) && s.consumeFault()
	return f, hit
}

// tokenFault returns the fault to inject after sent tokens of a response.
func (s *Server) tokenFault(sent int) tokenFaultKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	found := faultNone
	switch sent {
	case 0:
	case f.CrashAfterTokens:
		found = faultCrash
	case f.SilentAfterTokens:
		found = faultSilence
	case f.HalfAfterTokens:
		found = faultTruncate
	case f.CrossedAfterTokens:
		found = faultWrongID
	case f.DoubledAfterTokens:
		found = faultRestart
	case f.GarbageAfterTokens:
		found = faultGarbage
	}
	if found != faultNone && !s.consumeFault() {
		return faultNone
	}
	return found
}

type tokenFaultKind int

const (
	faultNone tokenFaultKind = iota
	faultCrash
	faultSilence
	faultTruncate
	faultWrongID
	faultRestart
	faultGarbage
)

func (f Faults) downFor() time.Duration { return time.Duration(f.DownMS) * time.Millisecond }

func (f Faults) slowdown() float64 {
	if f.Slowdown <= 0 {
		return 1
	}
	return f.Slowdown
}
