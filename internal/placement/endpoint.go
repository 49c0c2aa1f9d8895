package placement

import (
	"net/netip"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/limit"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// notOpen is the position of an endpoint that is not in the index of open ones.
const notOpen = -1

// hot is what a decision reads of an endpoint. It is copied from the rest by
// Fleet.refresh, so that a candidate costs one or two cache lines.
type hot struct {
	// position is the place in the fleet's index of open endpoints.
	position int
	// limit is the number of requests that may run.
	limit int
	// drawn is the number of the last decision that considered the endpoint.
	drawn   uint64
	speed   float64
	state   health.State
	leaving bool
}

// endpoint is the state of one endpoint.
type endpoint struct {
	hot
	running runList
	// suspects counts the suspects that run here; reservedUntil keeps it free for one.
	suspects      int
	reservedUntil time.Time

	config catalog.Endpoint
	// named is the number of the last update that named the endpoint.
	named uint64
	// host is the IP number of the address.
	host string
	// slot numbers the endpoint in the fleet; slots are not used again.
	slot    int32
	health  *health.Endpoint
	limiter *limit.Limiter

	// listedLeaving comes from the configuration and the platform's list, saysLeaving
	// from the endpoint itself. gone is true once the configuration no longer names it.
	listedLeaving bool
	saysLeaving   bool
	gone          bool

	lastCrash time.Time

	reportedAt   time.Time
	lastAgeCheck time.Time

	cacheSequence uint64
	cacheEpoch    uint32

	// counted is what the endpoint adds to the fleet's capacity.
	counted contribution
}

// contribution is an endpoint's part of the pool's capacity.
type contribution struct {
	slots    int
	busy     int
	eligible int
}

// update copies to hot what holds at now.
func (e *endpoint) update(now time.Time) {
	e.leaving = e.gone || e.listedLeaving || e.saysLeaving
	e.state = e.health.State(now)
	e.speed = e.health.Speed()
	e.limit = e.currentLimit(now)
}

// eligible reports whether the endpoint takes any new work.
func (e *endpoint) eligible() bool { return !e.leaving && e.state != health.Ejected }

// currentLimit is the number of requests that may run now. A half-open endpoint
// may run its probe beside what was left from before.
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

// closed reports whether a suspect runs here or the endpoint is kept free for one.
func (e *endpoint) closed(now time.Time) bool { return e.suspects > 0 || e.reserved(now) }

// open reports whether the endpoint has a free slot for work that is not suspect.
func (e *endpoint) open(now time.Time) bool {
	return e.eligible() && !e.closed(now) && e.running.len < e.limit
}

func (e *endpoint) contribution(now time.Time) contribution {
	if !e.eligible() {
		return contribution{}
	}
	busy := e.running.len
	if e.closed(now) {
		return contribution{slots: busy, busy: busy, eligible: 1}
	}
	return contribution{slots: max(e.limit, busy), busy: busy, eligible: 1}
}

// matches reports whether the platform's list names the endpoint, by name,
// address, or the IP number of its address.
func (e *endpoint) matches(listed map[string]bool) bool {
	if len(listed) == 0 {
		return false
	}
	return listed[e.config.Name] || listed[e.config.Address] || listed[e.host]
}

// hostOf returns the IP number of an address, or nothing if it has none.
func hostOf(address string) string {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return addr.Addr().String()
}

// run is one request that runs on an endpoint.
type run struct {
	askID        string
	digest       string
	daemon       string
	tier         catalog.Tier
	target       catalog.Target
	prefix       []uint64
	promptTokens int

	endpoint *endpoint
	sent     time.Time
	// inFlight is what ran on the endpoint when the request was placed, itself included.
	inFlight int
	// matched is the number of prompt blocks believed to be cached.
	matched int
	suspect bool
	probe   bool

	previous, next *run
}

// newRun keeps what of ask is needed when it ends.
func newRun(now time.Time, ask *routing.PermitRequest, e *endpoint) *run {
	return &run{
		askID:        ask.ID,
		digest:       ask.Digest,
		daemon:       ask.Daemon,
		tier:         min(max(ask.Tier, 0), catalog.LowestTier),
		target:       ask.Target,
		prefix:       ask.Prefix,
		promptTokens: ask.PromptTokens,
		endpoint:     e,
		sent:         now,
	}
}

// runList holds the runs of one endpoint, oldest first.
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

// median returns the run in the middle, or nil if there is none.
func (l *runList) median() *run {
	r := l.first
	for range l.len / 2 {
		r = r.next
	}
	return r
}
