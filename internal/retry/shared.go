package retry

import (
	"sync"
	"time"
)

// windowSteps is the number of steps into which the window is cut.
const windowSteps = 10

// SharedConfig sets the bounds of a Shared budget that all daemons keep together
// without asking one another.
type SharedBudgetConfig struct {
	// Ratio is the number of extra arrivals allowed for each request in a window.
	Ratio float64
	// Window is the length of any span in which the bound holds.
	Window time.Duration
	// Slack is the number of extra arrivals allowed beyond the ratio, over all daemons.
	Slack float64
	// Margin is the share of the bound that is used: windows of daemons don't begin
	// together, and a daemon that restarts forgets what it used.
	Margin float64
}

// Shared bounds the arrivals at a service beyond the first of each request. Each daemon
// takes the ratio of its own requests and an equal part of the slack, so the sum over
// all daemons holds at any time. It is safe for concurrent use.
type SharedBudget struct {
	mu       sync.Mutex
	cfg      SharedBudgetConfig
	daemons  int
	services map[string]*window
}

// window counts requests and extra arrivals by step of time.
type window struct {
	step     int64
	requests [windowSteps]int
	extras   [windowSteps]int
}

// NewShared returns a budget for that many daemons.
func NewSharedBudget(cfg SharedBudgetConfig, daemons int) *SharedBudget {
	return &SharedBudget{cfg: cfg, daemons: max(1, daemons), services: make(map[string]*window)}
}

// SetDaemons sets the number of daemons that share the slack.
func (s *SharedBudget) SetDaemons(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = max(1, n)
}

// SetBounds sets the ratio and the slack.
func (s *SharedBudget) SetBounds(ratio, slack float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Ratio, s.cfg.Slack = ratio, slack
}

// Started counts a request for a service.
func (s *SharedBudget) RecordRequest(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(now, service)
	w.requests[w.step%windowSteps]++
}

// Allow takes one extra arrival at a service, or reports that the budget is used up.
func (s *SharedBudget) Allow(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(now, service)
	requests, extras := sum(w.requests), sum(w.extras)
	allowed := s.cfg.Margin * (s.cfg.Ratio*float64(requests) + s.cfg.Slack/float64(s.daemons))
	if float64(extras+1) > allowed {
		return false
	}
	w.extras[w.step%windowSteps]++
	return true
}

// Left is the number of extra arrivals that a service may still get.
func (s *SharedBudget) Remaining(now time.Time, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(now, service)
	return s.cfg.Margin*(s.cfg.Ratio*float64(sum(w.requests))+s.cfg.Slack/float64(s.daemons)) - float64(sum(w.extras))
}

func (s *SharedBudget) window(now time.Time, service string) *window {
	step := now.UnixNano() / int64(s.cfg.Window/windowSteps)
	w := s.services[service]
	if w == nil {
		w = &window{step: step}
		s.services[service] = w
	}
	for w.step < step {
		if step-w.step > windowSteps {
			*w = window{step: step}
			break
		}
		w.step++
		w.requests[w.step%windowSteps] = 0
		w.extras[w.step%windowSteps] = 0
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
