// Package reach decides how a gateway connects to an endpoint: directly, or through a carrier,
// which is another gateway that reaches the endpoint. One gateway can't tell a link that is cut
// from an endpoint that is down; what a carrier finds tells them apart. The package performs no
// I/O and reads no clock.
package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two probes of a path that is not whole.
	probeInterval = time.Second
	// recoveryInterval is the time between the probes that find a path whole again, and
	// recoverySuccesses their number in a row: a link that is being repaired comes and goes.
	recoveryInterval  = 300 * time.Millisecond
	recoverySuccesses = 2
	// surveyInterval is the minimum time between two surveys of all paths.
	surveyInterval = time.Second
	// downLead is how long an endpoint must have been out of reach before another one ceased to be
	// reached, so that one cut of links does not explain both. It is probed meanwhile.
	downLead = probeInterval
	// maxProbesPerSecond bounds the probes of a gateway that is cut from many endpoints, and
	// maxProbesAtOnce those that are started together.
	maxProbesPerSecond = 32
	maxProbesAtOnce    = 32
)

// State is the state of the path from this gateway to an endpoint's address.
type State string

const (
	// Whole is the state of a path on which no direct connection has failed lately.
	Whole State = "whole"
	// Suspect begins with a direct connection that failed: the endpoint may be down, or the link cut.
	Suspect State = "suspect"
	// Cut begins when a carrier reaches the endpoint and this gateway does not.
	Cut State = "cut"
)

// Transition is a change of a path's state.
type Transition struct {
	Address  string
	From, To State
	// Lasted is how long the path was in the state From; zero if From is Whole.
	Lasted time.Duration
}

// path is a path that is not whole.
type path struct {
	state State
	since time.Time
	// successes counts the direct connections in a row that succeeded.
	successes int
	probeAt   time.Time
	probing   bool
	// checked is set once carriers are being asked whether the endpoint is down.
	checked bool
	// down is set once the endpoint was found to be down, until it is reached again.
	down bool
}

// Paths holds the state of the paths to all endpoints, by address. It is safe for concurrent use.
type Paths struct {
	mu sync.Mutex
	// broken holds the paths that are not whole.
	broken map[string]*path
	// surveyDue is set while all paths are to be probed, surveyedAt when they last were.
	surveyDue  bool
	surveyedAt time.Time
	report     func(Transition)
	noted      []Transition
	// firstBroken signals that a path has ceased to be whole.
	firstBroken chan struct{}
}

// NewPaths returns the state of a gateway to which all paths are whole. report receives each
// transition once, outside the lock.
func NewPaths(report func(Transition)) *Paths {
	return &Paths{broken: make(map[string]*path), report: report, firstBroken: make(chan struct{}, 1)}
}

// State returns the state of the path to an address.
func (p *Paths) State(address string) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.broken[address]; b != nil {
		return b.state
	}
	return Whole
}

// FoundDown records that a direct connection failed because the endpoint is down, as others are reached.
func (p *Paths) FoundDown(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.broken[address]; b != nil {
		b.down = true
	}
}

// IsDown reports whether the endpoint was found to be down and was not reached since. Over a path that
// is cut this gateway does not know.
func (p *Paths) IsDown(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.broken[address]
	return b != nil && b.state == Suspect && b.down
}

// DownBefore reports whether the endpoint was found to be down, and had been out of reach for downLead
// when another one ceased to be reached.
func (p *Paths) DownBefore(now time.Time, address, other string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, lost := p.broken[address], now
	if o := p.broken[other]; o != nil {
		lost = o.since
	}
	return b != nil && b.state == Suspect && b.down && lost.Sub(b.since) >= downLead
}

// Count returns the number of paths in each state but Whole.
func (p *Paths) Count() (suspect, cut int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.broken {
		if b.state == Cut {
			cut++
		} else {
			suspect++
		}
	}
	return suspect, cut
}

// DirectConnected records a direct connection that succeeded. After a cut it takes
// recoverySuccesses of them, recoveryInterval apart, for the path to be whole. The first one shows
// that links are being repaired, so that all other broken paths are probed too.
func (p *Paths) DirectConnected(now time.Time, address string) {
	p.mu.Lock()
	defer p.unlock()
	b := p.broken[address]
	if b == nil {
		return
	}
	b.probing = false
	if b.state == Cut {
		if b.successes++; b.successes < recoverySuccesses {
			b.probeAt = now.Add(recoveryInterval)
			p.probeBroken(now)
			return
		}
	}
	p.note(now, address, b, Whole)
	delete(p.broken, address)
}

// DirectFailed records a direct connection that failed, and reports whether the path was whole
// until then.
func (p *Paths) DirectFailed(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.unlock()
	b := p.broken[address]
	first := b == nil
	if first {
		b = &path{state: Whole}
		p.broken[address] = b
		p.note(now, address, b, Suspect)
		select {
		case p.firstBroken <- struct{}{}:
		default: // The signal is pending.
		}
	}
	b.probing, b.successes = false, 0
	b.probeAt = now.Add(p.pace() + rand.N(probeInterval/4))
	if first {
		b.probeAt = now
	}
	return first
}

// Carried records that a carrier connected to an endpoint, and reports whether that shows that the
// path is cut: a direct connection failed, and the path was not known to be cut.
func (p *Paths) Carried(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.unlock()
	b := p.broken[address]
	if b == nil {
		return false
	}
	b.down = false
	if b.state == Cut {
		return false
	}
	p.note(now, address, b, Cut)
	p.surveyDue = true
	return true
}

// Broken returns a channel that receives a value after a path has ceased to be whole.
func (p *Paths) Broken() <-chan struct{} { return p.firstBroken }

// NeedsProbes reports whether Due may return any address.
func (p *Paths) NeedsProbes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.broken) > 0 || p.surveyDue
}

// Due returns the listed addresses to probe now, and forgets those that are not listed. Those in
// probes are probed by a direct connection, whose result must be recorded. Carriers are to be asked
// as well about those in checks, whose paths are newly suspect, so that a cut is known before the
// next request comes. A path that was cut has all others probed, once per surveyInterval.
func (p *Paths) Due(now time.Time, listed []string) (probes, checks []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.broken {
		if !slices.Contains(listed, address) {
			delete(p.broken, address)
		}
	}
	survey := p.surveyDue && now.Sub(p.surveyedAt) >= surveyInterval
	if survey {
		p.surveyDue, p.surveyedAt = false, now
	}
	for _, address := range listed {
		switch b := p.broken[address]; {
		case b == nil && survey:
			probes = append(probes, address)
		case b == nil || b.probing || now.Before(b.probeAt) || len(probes)+len(checks) >= maxProbesAtOnce:
		case b.state == Suspect && !b.checked:
			b.probing, b.checked = true, true
			checks = append(checks, address)
		default:
			b.probing = true
			probes = append(probes, address)
		}
	}
	return probes, checks
}

// probeBroken has all broken paths probed now; p.mu is held.
func (p *Paths) probeBroken(now time.Time) {
	for _, b := range p.broken {
		if b.successes == 0 {
			b.probeAt = now
		}
	}
}

// pace is the time between two probes of one path; p.mu is held.
func (p *Paths) pace() time.Duration {
	return max(probeInterval, time.Second*time.Duration(len(p.broken))/maxProbesPerSecond)
}

// note changes the state of a path; p.mu is held.
func (p *Paths) note(now time.Time, address string, b *path, to State) {
	t := Transition{Address: address, From: b.state, To: to}
	if b.state != Whole {
		t.Lasted = now.Sub(b.since)
	}
	b.state, b.since = to, now
	if p.report != nil {
		p.noted = append(p.noted, t)
	}
}

// unlock releases p.mu and reports the transitions noted meanwhile.
func (p *Paths) unlock() {
	noted := p.noted
	p.noted = nil
	p.mu.Unlock()
	for _, t := range noted {
		p.report(t)
	}
}
