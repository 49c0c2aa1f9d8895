package reach

import "time"

const (
	// DirectTimeout bounds a direct connection. It takes a few milliseconds within a region, and an
	// endpoint that went down without notice never replies.
	DirectTimeout = 250 * time.Millisecond
	// headStart is how long a direct connection may take before a carrier is asked beside it.
	headStart = 100 * time.Millisecond
	// carrierPatience is how long a carrier may take before the next one is asked beside it.
	carrierPatience = 150 * time.Millisecond
	// maxCarriers bounds the carriers that are asked for one connection. Most of them may be cut as well,
	// which they answer at once.
	maxCarriers = 8
	// ConnectTimeout bounds a race: two carriers that don't answer, and one that does.
	ConnectTimeout = 700 * time.Millisecond
)

// Judge returns the verdict of a gateway that does not reach an endpoint.
func Judge(reference Reference) Verdict {
	switch reference {
	case ReferenceReached:
		return Down
	case NoReference:
		return Unreached
	case ReferenceLost:
	}
	return CantTell
}

// Step is what a race needs next.
type Step struct {
	// Direct starts the direct connection, and Carrier asks one more carrier.
	Direct, Carrier bool
	// Reference connects to other endpoints.
	Reference bool
	// Over ends the race without a connection.
	Over bool
	// Wait is the time after which the race needs a step if nothing happens; zero if none.
	Wait time.Duration
}

// Race opens one connection to an endpoint, directly or through a carrier, whichever is first. It
// is not safe for concurrent use.
type Race struct {
	state   State
	started time.Time
	// carriersLeft counts the carriers that may be asked yet, and asking those that have not answered;
	// the last one was asked at askedAt.
	carriersLeft, asking int
	askedAt              time.Time
	// knowsPeers is set if there was a carrier to ask.
	knowsPeers                  bool
	directStarted, directFailed bool
	// down is set once a carrier has found the endpoint down, unreached once one that has no
	// reference has not reached it, and doubted once one can't tell.
	down, unreached, doubted bool
	referenceStarted         bool
	reference                *Reference
}

// NewRace returns a race over a path in the given state, with that many carriers to choose from.
func NewRace(now time.Time, state State, carriers int) *Race {
	return &Race{state: state, started: now, carriersLeft: min(maxCarriers, carriers), knowsPeers: carriers > 0}
}

// Next returns the next step. It is called after the start, each result and each wait, until a
// connection is open or the race is over.
func (r *Race) Next(now time.Time) Step {
	if !r.directStarted && r.direct() {
		r.directStarted = true
		return Step{Direct: true}
	}
	if r.carriersLeft > 0 && !r.down && !now.Before(r.carrierDueAt()) {
		r.carriersLeft--
		r.asking++
		r.askedAt = now
		return Step{Carrier: true}
	}
	switch directPending := r.directStarted && !r.directFailed; {
	case r.carriersLeft > 0 && !r.down:
		return Step{Wait: r.carrierDueAt().Sub(now)}
	case directPending, r.asking > 0 && !r.down:
		return Step{} // A result is due.
	case r.down:
		return Step{Over: true}
	case !r.referenceStarted:
		r.referenceStarted = true
		return Step{Reference: true}
	case r.reference == nil:
		return Step{}
	}
	return Step{Over: true}
}

// direct reports whether the direct connection is to be started: at once, but on a path that is
// cut only when no carrier is left.
func (r *Race) direct() bool {
	return r.state != Cut || r.carriersLeft == 0 && r.asking == 0 && !r.down
}

// carrierDueAt returns when the next carrier is due.
func (r *Race) carrierDueAt() time.Time {
	switch {
	case r.asking > 0:
		return r.askedAt.Add(carrierPatience)
	case r.state != Whole || r.directFailed || !r.askedAt.IsZero():
		return r.started
	}
	return r.started.Add(headStart)
}

// DirectFailed records that the direct connection failed.
func (r *Race) DirectFailed() { r.directFailed = true }

// CarrierFailed records the answer of a carrier that did not connect.
func (r *Race) CarrierFailed(verdict Verdict) {
	r.asking--
	r.down = r.down || verdict == Down
	r.unreached = r.unreached || verdict == Unreached
	r.doubted = r.doubted || verdict == CantTell
}

// ReferenceDone records the result of the reference.
func (r *Race) ReferenceDone(result Reference) { r.reference = &result }

// Verdict returns, after a race without a connection, whether the endpoint is down, or nobody
// could tell.
func (r *Race) Verdict() Verdict {
	switch {
	case r.down:
		return Down
	case r.reference == nil:
		return CantTell
	case *r.reference == NoReference && !r.doubted && (r.unreached || !r.knowsPeers):
		return Down // As far as anybody can tell.
	case *r.reference == ReferenceReached:
		return Down
	}
	return CantTell
}
