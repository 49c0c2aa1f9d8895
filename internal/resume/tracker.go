package resume

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

const (
	// announceDelay batches announcements. A gateway that is killed takes the streams begun
	// within this time with it: their origin is unknown.
	announceDelay = 20 * time.Millisecond
	// askInterval is the time after which peers are asked once more: a datagram may be lost, or
	// an announcement be on its way.
	askInterval = 25 * time.Millisecond
	// askRounds is the number of times that peers are asked.
	askRounds = 2
	// maxRecordsPerMessage bounds the records of one datagram.
	maxRecordsPerMessage = 20
)

// Transport sends messages to peers. Messages may be lost.
type Transport interface {
	// LivePeers returns the addresses of the peers that are taken for live.
	LivePeers() []string
	Announce(records []Record, to []string)
	Ask(query Query, to []string)
}

// Resolution is the result of Resolve.
type Resolution struct {
	Origin
	Verdict Verdict
	// Recent are the recent versions of the service, here and at the peers that answered.
	Recent []string
	// Asked and Answered count the peers that were asked and those that answered.
	Asked, Answered int
}

// Tracker remembers where streams began, announces it to peers while a service has more than
// one version, and finds the origin of a stream that is to be resumed. It is safe for
// concurrent use.
type Tracker struct {
	registry registry
	versions versions

	mu        sync.Mutex
	transport Transport
	// queued are records to announce; queuedSignal wakes Run.
	queued       []Record
	queuedSignal chan struct{}
	queryNumber  uint64
	// waiting holds the channel of each query that waits for answers.
	waiting map[uint64]chan Answer
}

// NewTracker returns a tracker without a transport: it knows its own streams only.
func NewTracker() *Tracker {
	return &Tracker{queuedSignal: make(chan struct{}, 1), waiting: make(map[uint64]chan Answer)}
}

// SetTransport connects the tracker with its peers. It is called once, before Run.
func (t *Tracker) SetTransport(transport Transport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transport = transport
}

// Observe updates the versions of each service with the list of endpoints.
func (t *Tracker) Observe(now time.Time, endpoints []routetable.Endpoint) {
	for _, service := range t.versions.observe(now, endpoints) {
		t.announce(t.registry.ownOf(now, service)) // Begun while the service had one version.
	}
}

// Restore adds the versions by service that were recent before this gateway started, as something
// that outlasts gateways has them.
func (t *Tracker) Restore(now time.Time, byService map[string][]string) {
	t.versions.restore(now, byService)
}

// RecentVersions returns, by service, the sorted versions that must outlast this gateway. observed
// is set if no other version is recent.
func (t *Tracker) RecentVersions(now time.Time) (byService map[string][]string, observed bool) {
	return t.versions.keep(now)
}

// Began records that the first event of the stream that answers a request comes from origin.
// until is when the stream ends at the latest. It must be called before the caller receives
// the event.
func (t *Tracker) Began(now time.Time, requestID string, origin Origin, until time.Time) {
	key, e := KeyOf(requestID), registered{origin: origin, until: until, own: true}
	if t.registry.put(now, key, e) && t.versions.mixed(now, origin.Service) {
		t.announce([]Record{e.record(now, key)})
	}
}

// Expire drops the streams that have ended.
func (t *Tracker) Expire(now time.Time) { t.registry.expire(now) }

func (t *Tracker) announce(records []Record) {
	if len(records) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.transport == nil {
		return
	}
	t.queued = append(t.queued, records...)
	select {
	case t.queuedSignal <- struct{}{}:
	default:
	}
}

// Run sends announcements until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.queuedSignal:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceDelay):
		}
		t.flush()
	}
}

// flush sends the queued records to their owners.
func (t *Tracker) flush() {
	t.mu.Lock()
	records := t.queued
	t.queued = nil
	t.mu.Unlock()
	peers := t.transport.LivePeers()
	byPeer := make(map[string][]Record)
	for _, e := range records {
		for _, address := range owners(e.Key, peers, copies) {
			byPeer[address] = append(byPeer[address], e)
		}
	}
	for address, list := range byPeer {
		for _, part := range lo.Chunk(list, maxRecordsPerMessage) {
			t.transport.Announce(part, []string{address})
		}
	}
}

// HandleAnnouncement stores the origins that a peer announced.
func (t *Tracker) HandleAnnouncement(now time.Time, records []Record) {
	for _, e := range records {
		until := now.Add(min(Window, time.Duration(e.LeftMS)*time.Millisecond))
		t.registry.put(now, e.Key, registered{origin: Origin{e.Service, e.Version}, until: until})
	}
}

// HandleQuery answers a peer's query.
func (t *Tracker) HandleQuery(now time.Time, query Query) Answer {
	answer := Answer{Number: query.Number, Recent: t.versions.recent(now, query.Service), Complete: t.versions.complete(now)}
	if e, found := t.registry.get(now, query.Key); found {
		record := e.record(now, query.Key)
		answer.Record = &record
	}
	return answer
}

// HandleAnswer passes a peer's answer to the query that waits for it.
func (t *Tracker) HandleAnswer(answer Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.waiting[answer.Number] <- answer:
	default: // The query has ended, or has all the answers that it waits for.
	}
}

// Resolve returns the origin of the stream whose first event answered requestID, for a route
// to service. It asks peers if several versions are possible, and blocks for a few times the
// delay between gateways, at most askRounds times askInterval.
func (t *Tracker) Resolve(ctx context.Context, requestID, service string) Resolution {
	now := time.Now()
	e := evidence{service: service, recent: t.versions.recent(now, service), complete: t.versions.complete(now)}
	if found, ok := t.registry.get(now, KeyOf(requestID)); ok {
		e.own = &found.origin
	}
	resolution := Resolution{}
	if e.own == nil && (len(e.recent) > 1 || !e.complete) {
		resolution.Asked, resolution.Answered = t.ask(ctx, Query{Key: KeyOf(requestID), Service: service}, &e)
	}
	resolution.Origin, resolution.Verdict = decide(e)
	resolution.Recent = lo.Uniq(e.recent)
	return resolution
}

// ask collects evidence from the peers that may know the stream, until one does or all have
// answered twice.
func (t *Tracker) ask(ctx context.Context, query Query, e *evidence) (asked, answered int) {
	t.mu.Lock()
	transport := t.transport
	t.queryNumber++
	query.Number = t.queryNumber
	answers := make(chan Answer, maxAsked*askRounds)
	t.waiting[query.Number] = answers
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.waiting, query.Number)
		t.mu.Unlock()
	}()
	if transport == nil {
		return 0, 0
	}
	to := owners(query.Key, transport.LivePeers(), maxAsked)
	for round := 1; round <= askRounds && len(to) > 0; round++ {
		transport.Ask(query, to)
		interval, cancel := context.WithTimeout(ctx, askInterval)
		answered = max(answered, collect(interval, answers, len(to), e))
		if e.peer != nil || answered == len(to) && (len(lo.Uniq(e.recent)) <= 1 || round == askRounds) {
			cancel()
			break
		}
		<-interval.Done()
		cancel()
	}
	return len(to), answered
}

// collect reads up to n answers until one of them has the origin or ctx ends.
func collect(ctx context.Context, answers <-chan Answer, n int, e *evidence) (answered int) {
	for answered < n {
		select {
		case <-ctx.Done():
			return answered
		case answer := <-answers:
			answered++
			e.recent = append(e.recent, answer.Recent...)
			e.complete = e.complete || answer.Complete
			if answer.Record != nil {
				e.peer = &Origin{answer.Record.Service, answer.Record.Version}
				return answered
			}
		}
	}
	return answered
}
