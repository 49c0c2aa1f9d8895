package resume

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/directory"
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
	// spareAsked is the number of peers that are asked beyond those that the quorum needs.
	spareAsked = 2
	// maxAnsweredVersions bounds the versions in an answer, so that it fits into a datagram; two decide
	// as much as more.
	maxAnsweredVersions = 2
	// maxRecordMS bounds the time in ms for which a record of a peer is kept; callers set the time limits
	// of streams.
	maxRecordMS = 15 * 60 * 1000
	// maxRecordsPerMessage bounds the records of one datagram.
	maxRecordsPerMessage = 20
)

// Transport sends messages to peers. Messages may be lost.
type Transport interface {
	// LivePeers returns the addresses of the peers that are taken for live.
	LivePeers() []string
	// KnownPeers returns the addresses of all peers that may be running, lost ones included.
	KnownPeers() []string
	// SpreadVersion returns the newest list version that spreadQuorum gateways hold, as far as this
	// gateway knows; see SpreadVersion.
	SpreadVersion() directory.Version
	Announce(records []Record, to []string)
	Ask(query Query, to []string)
}

// Reader reads the versions of services from the platform.
type Reader interface {
	// ReadVersions returns the versions of a service that the platform lists or has stored as recent
	// at some time after the call. It takes a bounded time.
	ReadVersions(ctx context.Context, service string) ([]string, error)
}

// Resolution is the result of Resolve.
type Resolution struct {
	Origin
	Verdict Verdict
	// Recent are the recent versions of the service, here and at the peers that answered.
	Recent []string
	// Asked and Answered count the peers that were asked and those that answered.
	Asked, Answered int
	// Gateways is the number of gateways that are known, and Followers that of those, this one
	// included, whose recent versions count for the quorum.
	Gateways, Followers int
	// Fresh is set if the platform was read for this resolution.
	Fresh bool
}

// Tracker remembers where streams began, announces it to peers while a service has more than
// one version, and finds the origin of a stream that is to be resumed. It is safe for
// concurrent use.
type Tracker struct {
	registry registry
	versions versions
	// routes holds the services that each route had recently, in place of a service's versions.
	routes versions

	mu        sync.Mutex
	transport Transport
	reader    Reader
	// queued are records to announce; queuedSignal wakes Run.
	queued       []Record
	queuedSignal chan struct{}
	queryNumber  uint64
	// waiting holds the channel of each query that waits for answers.
	waiting map[uint64]chan answerFrom
}

// answerFrom is the answer of one peer.
type answerFrom struct {
	peer string
	Answer
}

// NewTracker returns a tracker without a transport: it knows its own streams only.
func NewTracker() *Tracker {
	// Answers to an earlier process may still be on their way.
	return &Tracker{queryNumber: rand.Uint64() >> 1, queuedSignal: make(chan struct{}, 1), waiting: make(map[uint64]chan answerFrom)}
}

// SetTransport connects the tracker with its peers. It is called once, before Run.
func (t *Tracker) SetTransport(transport Transport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transport = transport
}

// SetReader sets what reads the platform. It is called once, before the first Resolve; without it
// the peers alone are asked.
func (t *Tracker) SetReader(reader Reader) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reader = reader
}

// Observe updates the versions of each service with the list of endpoints.
func (t *Tracker) Observe(now time.Time, endpoints []routetable.Endpoint) {
	for _, service := range t.versions.observe(now, endpoints) {
		t.announce(t.registry.ownOf(now, service)) // Begun while the service had one version.
	}
}

// AssignVersion records the version of the list that was observed last. direct is set if this
// gateway has read it from the platform.
func (t *Tracker) AssignVersion(version directory.Version, direct bool) {
	t.versions.assign(version, direct)
}

// Unspread returns the listed versions of a service at which no stream that may be resumed should
// begin while others serve: too few gateways hold a list with them.
func (t *Tracker) Unspread(service string) []string {
	t.mu.Lock()
	transport := t.transport
	t.mu.Unlock()
	if transport == nil {
		return nil
	}
	return t.versions.unspread(service, transport.SpreadVersion)
}

// IsSpread reports whether enough gateways hold a list with a version, as of the last call of
// Unspread.
func (t *Tracker) IsSpread(o Origin) bool { return t.versions.isSpread(o.Service, o.Version) }

// Restore adds the versions by service that were recent before this gateway started, as something
// that outlasts gateways has them.
func (t *Tracker) Restore(now time.Time, byService map[string][]string) {
	t.versions.restore(now, byService)
}

// RecentVersions returns, by service, the sorted versions that must outlast this gateway.
func (t *Tracker) RecentVersions(now time.Time) map[string][]string { return t.versions.keep(now) }

// HasLeft reports whether this gateway has seen a version leave the list for Window, so that it need
// not outlast it.
func (t *Tracker) HasLeft(o Origin) bool { return t.versions.hasLeft(o.Service, o.Version) }

// ObserveRoutes updates the services of each route with those of a table, by the route's key.
func (t *Tracker) ObserveRoutes(now time.Time, services map[string][]string) {
	var pairs []routetable.Endpoint
	for route, names := range services {
		for _, service := range names {
			pairs = append(pairs, routetable.Endpoint{Service: route, Version: service})
		}
	}
	for _, route := range t.routes.observe(now, pairs) {
		for _, service := range t.routes.recent(now, route) {
			t.announce(t.registry.ownOf(now, service)) // Begun while the route had one service.
		}
	}
}

// Began records that the first event of the stream that answers a request on a route comes from
// origin. until is when the stream ends at the latest. It must be called before the caller receives
// the event.
func (t *Tracker) Began(now time.Time, requestID, route string, origin Origin, until time.Time) {
	key, e := KeyOf(requestID), registered{origin: origin, until: until, own: true}
	ambiguous := t.versions.mixed(now, origin.Service) || t.routes.mixed(now, route) || !t.IsSpread(origin)
	if t.registry.put(now, key, e) && ambiguous {
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
		until := now.Add(time.Duration(min(maxRecordMS, e.LeftMS)) * time.Millisecond)
		t.registry.put(now, e.Key, registered{origin: Origin{e.Service, e.Version}, until: until})
	}
}

// HandleQuery answers a peer's query.
func (t *Tracker) HandleQuery(now time.Time, query Query) Answer {
	t.mu.Lock()
	transport := t.transport
	t.mu.Unlock()
	answer := Answer{Number: query.Number, Recent: lo.Slice(t.versions.recent(now, query.Service), 0, maxAnsweredVersions), Complete: t.versions.complete(now, query.Service), OtherServices: t.routes.mixed(now, query.Route)}
	if transport != nil {
		answer.Gateways = len(transport.KnownPeers()) + 1
	}
	if e, found := t.registry.get(now, query.Key); found {
		record := e.record(now, query.Key)
		answer.Record = &record
	}
	return answer
}

// HandleAnswer passes a peer's answer to the query that waits for it.
func (t *Tracker) HandleAnswer(peer string, answer Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.waiting[answer.Number] <- answerFrom{peer, answer}:
	default: // The query has ended, or has all the answers that it waits for.
	}
}

// Resolve returns the origin of the stream whose first event answered requestID, on a route that
// leads to service. Unless the origin is known here it asks peers, and the platform if too few of them
// answer. It blocks for a few times the delay between gateways, at most askRounds times askInterval
// and the time of a read.
func (t *Tracker) Resolve(ctx context.Context, requestID, route, service string) Resolution {
	now := time.Now()
	if found, ok := t.registry.get(now, KeyOf(requestID)); ok {
		return Resolution{Origin: found.origin, Verdict: KnownHere, Recent: t.versions.recent(now, service)}
	}
	t.mu.Lock()
	q := question{transport: t.transport, key: KeyOf(requestID), evidence: evidence{
		service: service, otherServices: t.routes.mixed(now, route), recent: t.versions.recent(now, service), gateways: 1,
	}}
	reader := t.reader
	t.mu.Unlock()
	if t.versions.complete(now, service) {
		q.evidence.followers = 1
	}
	if q.transport != nil {
		t.ask(ctx, Query{Key: q.key, Service: service, Route: route}, &q)
	}
	e := &q.evidence
	if e.peer == nil && !e.ambiguous() && !e.conclusive() && reader != nil {
		readPlatform(ctx, reader, e)
	}
	origin, verdict := decide(*e)
	return Resolution{
		Origin: origin, Verdict: verdict, Recent: e.versions(),
		Asked: len(q.asked), Answered: len(q.answered), Gateways: e.gateways, Followers: e.followers, Fresh: e.fresh,
	}
}

// readPlatform adds the versions that the platform has now.
func readPlatform(ctx context.Context, reader Reader, e *evidence) {
	versions, err := reader.ReadVersions(ctx, e.service)
	if err != nil {
		return // The reader logs it, and nothing can be concluded.
	}
	e.recent = append(e.recent, versions...)
	e.fresh = true
}

// question is the state of the questions about one stream.
type question struct {
	transport Transport
	key       Key
	evidence  evidence
	asked     []string
	// answered holds the peers that answered.
	answered map[string]bool
}

// ask collects evidence from the peers that may know the stream, until one does, a quorum has seen
// one version only, or askRounds are over.
func (t *Tracker) ask(ctx context.Context, query Query, q *question) {
	e := &q.evidence
	known := q.transport.KnownPeers()
	e.gateways = len(known) + 1
	q.answered = make(map[string]bool)
	live := q.transport.LivePeers()
	answers := make(chan answerFrom, len(known)*askRounds)
	query.Number = t.openQuery(answers)
	defer t.closeQuery(query.Number)
	for round := 1; round <= askRounds; round++ {
		if round == 1 || !e.ambiguous() {
			q.asked = choosePeers(query.Key, live, known, round)
		}
		to := q.asked
		if !e.ambiguous() {
			to = lo.Without(to, lo.Keys(q.answered)...) // Those that answered would say the same again.
		}
		if len(to) == 0 {
			return
		}
		q.transport.Ask(query, to)
		interval, cancel := context.WithTimeout(ctx, askInterval)
		q.collect(interval, answers, len(to))
		if q.decided() {
			cancel()
			return
		}
		if e.ambiguous() || len(q.answered) < len(q.asked) {
			<-interval.Done() // An answer or an announcement may be on its way.
		}
		cancel()
	}
}

// choosePeers returns the peers that are asked for the origin of a stream until a round: those to which
// it is announced first, as many as the quorum needs and spareAsked more, and as many again in each
// further round. Lost ones fill up the number, since they may only seem to be.
func choosePeers(key Key, live, known []string, round int) []string {
	n := round * max(maxAsked, readQuorum(len(known)+1)-1+spareAsked)
	chosen := owners(key, live, n)
	if len(chosen) < n {
		chosen = append(chosen, owners(key, lo.Without(known, live...), n-len(chosen))...)
	}
	return chosen
}

func (t *Tracker) openQuery(answers chan answerFrom) (number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queryNumber++
	t.waiting[t.queryNumber] = answers
	return t.queryNumber
}

func (t *Tracker) closeQuery(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, number)
}

// decided reports whether further answers would change nothing.
func (q *question) decided() bool {
	_, verdict := decide(q.evidence)
	return verdict != Unknown
}

// collect reads answers until the question is decided, n peers have answered or ctx ends.
func (q *question) collect(ctx context.Context, answers <-chan answerFrom, n int) {
	peers := make(map[string]bool)
	for len(peers) < n && !q.decided() {
		select {
		case <-ctx.Done():
			return
		case answer := <-answers:
			peers[answer.peer] = true
			q.add(answer)
		}
	}
}

func (q *question) add(answer answerFrom) {
	e := &q.evidence
	e.recent = append(e.recent, answer.Recent...)
	e.gateways = max(e.gateways, answer.Gateways)
	e.otherServices = e.otherServices || answer.OtherServices
	if answer.Record != nil && answer.Record.Key == q.key {
		e.peer = &Origin{answer.Record.Service, answer.Record.Version}
	}
	if !q.answered[answer.peer] {
		q.answered[answer.peer] = true
		// Gateways of earlier builds don't count the others, and call less complete.
		e.followers += lo.Ternary(answer.Complete && answer.Gateways > 0, 1, 0)
	}
}
