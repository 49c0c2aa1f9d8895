package placement

import (
	"net/netip"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/limit"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// notAvailable is the availableIndex of an endpoint that is not in Fleet.available.
const notAvailable = -1

// hotFields holds the fields that a placement decision reads for each candidate.
// endpoint.update copies what depends on the other state here, so that a decision loads
// only one or two cache lines for each candidate.
type hotFields struct {
	// availableIndex is the index in Fleet.available, or notAvailable.
	availableIndex int
	// limit is the maximum number of concurrent requests.
	limit int
	// lastDecision is the number of the last decision that considered the endpoint.
	lastDecision uint64
	slowdown     float64
	state        health.State
	leaving      bool
}

// endpoint holds the placement state of one endpoint.
type endpoint struct {
	hotFields
	running runList
	// suspects counts the suspect requests that run here; until reservedUntil the
	// endpoint takes no other new work, so that it becomes idle for a suspect.
	suspects      int
	reservedUntil time.Time

	config catalog.Endpoint
	// lastUpdate is the number of the last Fleet.Update that listed the endpoint.
	lastUpdate uint64
	// host is the IP address without the port; empty if the address holds none.
	host string
	// slot is the index in Fleet.slots; slots are never reused.
	slot    int32
	health  *health.Endpoint
	limiter *limit.Limiter

	// listedLeaving comes from the configuration or the platform's list of VMs,
	// reportedLeaving from the endpoint's own load report. removed is set when the
	// configuration no longer lists the endpoint under this address.
	listedLeaving   bool
	reportedLeaving bool
	removed         bool

	lastCrash time.Time

	reportedAt   time.Time
	lastAgeCheck time.Time

	cacheSequence uint64
	cacheEpoch    uint32

	// counted is the endpoint's current share of Fleet.total.
	counted contribution
}

// contribution is what an endpoint adds to the pool's capacity.
type contribution struct {
	slots    int
	busy     int
	eligible int
}

// update recomputes the derived hotFields at time now.
func (e *endpoint) update(now time.Time) {
	e.leaving = e.removed || e.listedLeaving || e.reportedLeaving
	e.state = e.health.State(now)
	e.slowdown = e.health.Slowdown()
	e.limit = e.currentLimit(now)
}

// eligible reports whether the endpoint is neither leaving nor ejected.
func (e *endpoint) eligible() bool { return !e.leaving && e.state != health.Ejected }

// currentLimit returns the maximum number of concurrent requests at time now. A
// half-open endpoint may run one probe in addition to the requests already running.
func (e *endpoint) currentLimit(now time.Time) int {
	if e.state == health.Healthy {
		return e.limiter.Limit(now)
	}
	if e.health.MayProbe(now) {
		return e.running.len + 1
	}
	return e.running.len
}

func (e *endpoint) reserved(now time.Time) bool { return now.Before(e.reservedUntil) }

// heldForSuspect reports whether a suspect request runs here or the endpoint is
// reserved for one.
func (e *endpoint) heldForSuspect(now time.Time) bool { return e.suspects > 0 || e.reserved(now) }

// available reports whether the endpoint has a free slot for requests that are not suspect.
func (e *endpoint) available(now time.Time) bool {
	return e.eligible() && !e.heldForSuspect(now) && e.running.len < e.limit
}

func (e *endpoint) contribution(now time.Time) contribution {
	if !e.eligible() {
		return contribution{}
	}
	busy := e.running.len
	if e.heldForSuspect(now) {
		return contribution{slots: busy, busy: busy, eligible: 1}
	}
	return contribution{slots: max(e.limit, busy), busy: busy, eligible: 1}
}

// isIn reports whether listed holds the endpoint's name, its address, or the IP
// address without the port.
func (e *endpoint) isIn(listed map[string]bool) bool {
	if len(listed) == 0 {
		return false
	}
	return listed[e.config.Name] || listed[e.config.Address] || listed[e.host]
}

// hostOf returns the IP address of an IP:port address, or an empty string if it is no
// such address.
func hostOf(address string) string {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return addr.Addr().String()
}

// run is one attempt in progress on an endpoint.
type run struct {
	attemptID    string
	digest       string
	daemon       string
	tier         catalog.Tier
	target       catalog.Target
	prefix       []uint64
	promptTokens int

	endpoint *endpoint
	sent     time.Time
	// inFlight is the number of requests on the endpoint when this one was placed,
	// itself included.
	inFlight int
	// matched is the number of prompt blocks that the endpoint presumably had cached.
	matched int
	suspect bool
	probe   bool

	previous, next *run
}

// newRun copies the fields of request that are needed while the attempt runs and when it ends.
func newRun(now time.Time, request *routing.PermitRequest, e *endpoint) *run {
	return &run{
		attemptID:    request.ID,
		digest:       request.Digest,
		daemon:       request.Daemon,
		tier:         min(max(request.Tier, 0), catalog.LowestTier),
		target:       request.Target,
		prefix:       request.Prefix,
		promptTokens: request.PromptTokens,
		endpoint:     e,
		sent:         now,
	}
}

// runList is a linked list of the runs of one endpoint, in order of arrival.
type runList struct {
	first, last *run
	len         int
}

func (l *runList) add(r *run) {
	r.previous = l.last
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	l.len++
}

func (l *runList) remove(r *run) {
	if r.previous == nil {
		l.first = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		l.last = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, nil
	l.len--
}

// median returns the run in the middle, or nil if the list is empty.
func (l *runList) median() *run {
	r := l.first
	for range l.len / 2 {
		r = r.next
	}
	return r
}
