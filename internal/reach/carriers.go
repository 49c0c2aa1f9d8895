package reach

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

// Verdict is what a carrier answers when it is asked to connect to an endpoint.
type Verdict string

// Values of Verdict. Their text is what carriers send.
const (
	// Connected means that the carrier reached the endpoint.
	Connected Verdict = "connected"
	// Down means that the carrier did not reach the endpoint, but others of its service.
	Down Verdict = "down"
	// CantTell means that the carrier reached neither the endpoint nor others.
	CantTell Verdict = "cant_tell"
	// Unreached means that the carrier did not reach the endpoint and has no other that could tell.
	Unreached Verdict = "unreached"
	// Unlisted means that the carrier's list of endpoints does not have the address.
	Unlisted Verdict = "unlisted"
	// Busy means that the carrier has as many connections as it carries at most, or drains.
	Busy Verdict = "busy"
	// Forbidden means that the carrier does not know this gateway as a peer.
	Forbidden Verdict = "forbidden"
	// Lost means that the carrier did not answer.
	Lost Verdict = "lost"
)

// avoidance is how long a carrier is asked only if there is no other, by its answer. It doubles with
// each such answer in a row, up to maxDoublings times: links stay cut for seconds.
var avoidance = map[Verdict]time.Duration{
	CantTell:  time.Second,
	Unlisted:  500 * time.Millisecond,
	Busy:      300 * time.Millisecond,
	Forbidden: 2 * time.Second,
	Lost:      2 * time.Second,
}

const maxDoublings = 3

// Candidate is a peer that may be asked to carry connections.
type Candidate struct {
	Address, DataCentre string
}

// Target is an endpoint to connect to.
type Target struct {
	Address, ID, Service, DataCentre string
}

// Carriers chooses carriers, by their answers and by the connections that they carry for this
// gateway. It is safe for concurrent use.
type Carriers struct {
	dataCentre string
	mu         sync.Mutex
	byAddress  map[string]*carrier
}

// carrier is the state of a carrier that answered lately or carries connections.
type carrier struct {
	open int
	// avoided is by service: links may be cut to the endpoints of one service only.
	avoided map[string]avoided
}

// avoided is until when a carrier is avoided, after that many answers of the kind in a row.
type avoided struct {
	until   time.Time
	answers int
}

// NewCarriers returns the state of a gateway in dataCentre that has asked no carrier yet.
func NewCarriers(dataCentre string) *Carriers {
	return &Carriers{dataCentre: dataCentre, byAddress: make(map[string]*carrier)}
}

// Choose returns the candidate to ask next for a connection to target, without those in tried;
// ok is false if none is left. If all are to be avoided, one is asked for each connection. Candidates in the data centre of this gateway or of the endpoint
// come first, since bytes through a third one pass between data centres twice; of two drawn by
// random, which returns an integer below n, the one that carries less.
func (c *Carriers) Choose(now time.Time, target Target, candidates []Candidate, tried []string, random func(n int) int) (address string, ok bool) {
	left := lo.Reject(candidates, func(x Candidate, _ int) bool { return slices.Contains(tried, x.Address) })
	if len(left) == 0 {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	avoidUntil := func(x Candidate) time.Time { return c.avoidUntil(x.Address, target.Service) }
	usable := lo.Filter(left, func(x Candidate, _ int) bool { return !now.Before(avoidUntil(x)) })
	if len(usable) == 0 {
		first := lo.MinBy(left, func(a, b Candidate) bool { return avoidUntil(a).Before(avoidUntil(b)) })
		return first.Address, len(tried) == 0
	}
	left = usable
	if near := lo.Filter(left, func(x Candidate, _ int) bool {
		return x.DataCentre == c.dataCentre || x.DataCentre == target.DataCentre
	}); len(near) > 0 {
		left = near
	}
	first, second := left[random(len(left))].Address, left[random(len(left))].Address
	if c.open(second) < c.open(first) {
		return second, true
	}
	return first, true
}

// Answered records the answer of a carrier.
func (c *Carriers) Answered(now time.Time, address, service string, verdict Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.byAddress[address]
	if x == nil {
		x = &carrier{avoided: make(map[string]avoided)}
		c.byAddress[address] = x
	}
	if avoidance[verdict] == 0 {
		delete(x.avoided, service)
		return
	}
	answers := x.avoided[service].answers
	x.avoided[service] = avoided{until: now.Add(avoidance[verdict] << min(answers, maxDoublings)), answers: answers + 1}
}

// Opened and Closed count a connection that a carrier carries for this gateway. A carrier that has
// answered is known.
func (c *Carriers) Opened(address string) { c.add(address, 1) }

// Closed is the counterpart of Opened.
func (c *Carriers) Closed(address string) { c.add(address, -1) }

func (c *Carriers) add(address string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.byAddress[address]; x != nil {
		x.open += n
	}
}

// Retain forgets all carriers but the candidates and those that carry connections.
func (c *Carriers) Retain(candidates []Candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, x := range c.byAddress {
		if x.open <= 0 && !lo.ContainsBy(candidates, func(k Candidate) bool { return k.Address == address }) {
			delete(c.byAddress, address)
		}
	}
}

// Open returns the number of connections that all carriers carry for this gateway.
func (c *Carriers) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lo.SumBy(lo.Values(c.byAddress), func(x *carrier) int { return x.open })
}

func (c *Carriers) open(address string) int {
	if x := c.byAddress[address]; x != nil {
		return x.open
	}
	return 0
}

func (c *Carriers) avoidUntil(address, service string) time.Time {
	if x := c.byAddress[address]; x != nil {
		return x.avoided[service].until
	}
	return time.Time{}
}
