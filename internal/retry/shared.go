package retry

import (
	"sync"
	"time"
)

// windowSteps is the number of equal steps in which a sliding window is counted.
const windowSteps = 10

// SharedBudgetConfig configures a SharedBudget.
type SharedBudgetConfig struct {
	// Ratio is the number of extra attempts allowed for each request in a window.
	Ratio float64
	// Window is the length of the sliding window in which the limit holds.
	Window time.Duration
	// Slack is the number of extra attempts allowed beyond the ratio, over all daemons.
	Slack float64
	// Margin is the share of the limit that is used, 0 to 1. The rest allows for daemons
	// whose windows begin at different times and for restarts, which reset the counts.
	Margin float64
}

// SharedBudget limits the extra attempts at a service, those after the first of each
// request, over all daemons. The daemons don't communicate for it: each uses the ratio of
// its own requests and an equal share of the slack, which keeps the sum within the limit
// at any time. It is safe for concurrent use.
type SharedBudget struct {
	mu       sync.Mutex
	cfg      SharedBudgetConfig
	daemons  int
	services map[string]*slidingWindow
}

// slidingWindow counts requests and extra attempts in each of the last windowSteps steps.
type slidingWindow struct {
	step          int64
	requests      [windowSteps]int
	extraAttempts [windowSteps]int
}

// NewSharedBudget returns a budget whose slack is divided by the number of daemons.
func NewSharedBudget(cfg SharedBudgetConfig, daemons int) *SharedBudget {
	return &SharedBudget{cfg: cfg, daemons: max(1, daemons), services: make(map[string]*slidingWindow)}
}

// SetDaemons sets the number of daemons that share the slack.
func (s *SharedBudget) SetDaemons(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = max(1, n)
}

// SetBounds replaces the ratio, the slack and the window. If the window changes, the extra attempts
// in it count as made now and its requests no longer count, so that the new limit is not exceeded.
func (s *SharedBudget) SetBounds(now time.Time, ratio, slack float64, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Ratio, s.cfg.Slack = ratio, slack
	if window == s.cfg.Window {
		return
	}
	extraAttempts := make(map[string]int, len(s.services))
	for service := range s.services {
		extraAttempts[service] = sum(s.window(now, service).extraAttempts)
	}
	s.cfg.Window = window
	clear(s.services)
	for service, n := range extraAttempts {
		w := s.window(now, service)
		w.extraAttempts[w.step%windowSteps] = n
	}
}

// RecordRequest counts the first attempt of a request for a service.
func (s *SharedBudget) RecordRequest(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(now, service)
	w.requests[w.step%windowSteps]++
}

// Allow takes one extra attempt at a service, or returns false if the budget is used up.
func (s *SharedBudget) Allow(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(now, service)
	requests, extraAttempts := sum(w.requests), sum(w.extraAttempts)
	allowed := s.cfg.Margin * (s.cfg.Ratio*float64(requests) + s.cfg.Slack/float64(s.daemons))
	if float64(extraAttempts+1) > allowed {
		return false
	}
	w.extraAttempts[w.step%windowSteps]++
	return true
}

// Remaining returns the number of extra attempts left for a service; it may be negative.
func (s *SharedBudget) Remaining(now time.Time, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(now, service)
	return s.cfg.Margin*(s.cfg.Ratio*float64(sum(w.requests))+s.cfg.Slack/float64(s.daemons)) - float64(sum(w.extraAttempts))
}

func (s *SharedBudget) window(now time.Time, service string) *slidingWindow {
	step := now.UnixNano() / int64(s.cfg.Window/windowSteps)
	w := s.services[service]
	if w == nil {
		w = &slidingWindow{step: step}
		s.services[service] = w
	}
	for w.step < step {
		if step-w.step > windowSteps {
			*w = slidingWindow{step: step}
			break
		}
		w.step++
		w.requests[w.step%windowSteps] = 0
		w.extraAttempts[w.step%windowSteps] = 0
	}
	return w
}

func sum(counts [windowSteps]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
