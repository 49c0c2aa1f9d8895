package balance

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// State is a state of an endpoint that its own answers decide.
type State string

const (
	// StateLeaving begins with an answer that says that the endpoint leaves.
	StateLeaving State = "leaving"
	// StateBackoff begins with a refusal that says for how long no request is wanted.
	StateBackoff State = "backoff"
	// StateLimited begins with an answer that names the requests a second that the endpoint takes.
	StateLimited State = "limited"
	// StateBrittle begins with an answer that says how many rejections a second the endpoint bears.
	StateBrittle State = "brittle"
)

// Cause is what decided that a state begins or ends. Its text is a metric label.
type Cause string

const (
	// OnSuccess begins a state with a complete success.
	OnSuccess Cause = "success"
	// OnFailure begins a state with the endpoint's own error.
	OnFailure Cause = "failure"
	// OnRefusal begins a state with an answer that the request has not run.
	OnRefusal Cause = "refusal"
	// OnStream begins a state with the header of a stream.
	OnStream Cause = "stream"
	// OnHealthCheck begins a state with the answer to a health check.
	OnHealthCheck Cause = "health_check"
	// Elapsed ends a backoff whose time has passed.
	Elapsed Cause = "elapsed"
	// Replaced ends a state as a later process of the same id is listed.
	Replaced Cause = "replaced"
	// ToldByPeer ends a limit after another daemon had a response without one.
	ToldByPeer Cause = "told_by_peer"
	// NamedToPeer begins a state that another daemon had a response about.
	NamedToPeer Cause = "named_to_peer"
	// Forgotten ends the memory of a leaving process that was not listed for long.
	Forgotten Cause = "forgotten"
)

// Transition is the beginning or the end of an endpoint's state.
type Transition struct {
	// Endpoint is the entry through which the answer came.
	Endpoint routetable.Endpoint
	State    State
	Begins   bool
	Cause    Cause
	// At is when the transition was noticed, and Since when the state began.
	At, Since time.Time
	// Asked is the time that the latest refusal asked for, and Until the end of the backoff.
	Asked time.Duration
	Until time.Time
	// Limit is the limit that the endpoint names, in requests or, if it is brittle, rejections a second,
	// and Sharing the number of daemons that share it at a time.
	Limit   float64
	Sharing int
	// SentAt is when the request was sent whose response ended a limit; zero if none did.
	SentAt time.Time
}

// OnTransition sets the function that gets each transition once, outside the pool's lock. It
// must be set before the pool is used. The end of a backoff is noticed by the next Pick, Stats,
// Withdrawn or Shortage.
func (p *Pool) OnTransition(report func(Transition)) { p.report = report }

// noteTransition keeps a transition for unlock; p.mu is held.
func (p *Pool) noteTransition(t Transition) {
	if p.report != nil {
		p.transitions = append(p.transitions, t)
	}
}

// noteReplaced ends the states of earlier processes with the id of a listed endpoint.
func (p *Pool) noteReplaced(now time.Time, listed routetable.Endpoint) {
	if instance := p.leaving[listed.ID]; instance != nil && listed.StartedAt > instance.StartedAt {
		p.endLeaving(now, instance, Replaced)
	}
	if l := p.limits[listed.ID]; l != nil && listed.StartedAt > l.StartedAt {
		p.endLimit(now, l, Replaced)
	}
	if b := p.brittle[listed.ID]; b != nil && listed.StartedAt > b.StartedAt {
		p.endBrittle(now, b, Replaced)
	}
	if b := p.backoffs[listed.ID]; b != nil && !b.ended && listed.StartedAt > b.StartedAt {
		p.endBackoff(now, b, Replaced)
	}
}

// unlock releases p.mu and reports the transitions noted meanwhile.
func (p *Pool) unlock() {
	transitions := p.transitions
	p.transitions = nil
	p.mu.Unlock()
	for _, t := range transitions {
		p.report(t)
	}
}
