package forward

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// Load pattern: connections break while requests are in progress. A crash probe dials the
// endpoint again: one that crashed refuses the connection and its load must move to others
// at once; one that only lost a response accepts it and stays in use. The same probe
// identifies requests that crash every endpoint that runs them.

const (
	// minProbeInterval is the shortest time between two crash probes of one endpoint.
	minProbeInterval = 300 * time.Millisecond
	// crashWindow is how long after its connection broke a request still counts as running
	// at the time of a crash.
	crashWindow = time.Second
)

// crashProber dials endpoints whose connections broke and reports crashes to the quarantine
// register. It is safe for concurrent use.
type crashProber struct {
	dialer   *httpio.Dialer
	register *quarantine.Register
	log      *logrus.Logger

	mu        sync.Mutex
	broken    map[string][]brokenRequest
	lastProbe map[string]time.Time
}

// brokenRequest is a request that was in progress at an endpoint when its connection broke.
type brokenRequest struct {
	digest string
	at     time.Time
}

func newCrashProber(dialer *httpio.Dialer, register *quarantine.Register, log *logrus.Logger) *crashProber {
	return &crashProber{dialer: dialer, register: register, log: log, broken: make(map[string][]brokenRequest), lastProbe: make(map[string]time.Time)}
}

// reportBroken records a request whose connection broke and starts a crash probe of the
// endpoint unless the last one is less than minProbeInterval ago.
func (p *crashProber) reportBroken(choice *balance.Choice, digest string) {
	now := time.Now()
	p.mu.Lock()
	p.broken[choice.ID] = append(p.recentlyBroken(choice.ID, now), brokenRequest{digest: digest, at: now})
	due := now.Sub(p.lastProbe[choice.ID]) >= minProbeInterval
	if due {
		p.lastProbe[choice.ID] = now
	}
	p.mu.Unlock()
	if due {
		go p.probe(choice)
	}
}

// recentlyBroken returns the requests whose connections to an endpoint broke within
// crashWindow. The caller holds p.mu.
func (p *crashProber) recentlyBroken(id string, now time.Time) []brokenRequest {
	var requests []brokenRequest
	for _, request := range p.broken[id] {
		if now.Sub(request.at) < crashWindow {
			requests = append(requests, request)
		}
	}
	return requests
}

// probe dials the endpoint. If that fails, the endpoint is marked as dead and its recently
// broken requests are reported as having run at the crash.
func (p *crashProber) probe(choice *balance.Choice) {
	conn, err := p.dialer.Dial(context.Background(), choice.Address, dialTimeout)
	if err == nil {
		p.dialer.Put(choice.Address, conn)
		choice.CrashProbeSucceeded(time.Now())
		p.mu.Lock()
		delete(p.broken, choice.ID)
		p.mu.Unlock()
		return
	}
	now := time.Now()
	p.dialer.CloseIdle(choice.Address)
	choice.CrashProbeFailed(now)
	p.mu.Lock()
	var digests []string
	for _, request := range p.recentlyBroken(choice.ID, now) {
		digests = append(digests, request.digest)
	}
	delete(p.broken, choice.ID)
	p.mu.Unlock()
	p.register.Crashed(now, choice.ID, digests)
	p.log.WithFields(logrus.Fields{"event": "crash", "endpoint": choice.ID, "address": choice.Address, "running": len(digests), "error": err}).Warn("endpoint crashed: a connection broke and the crash probe could not connect")
}

// contentDigest returns a digest of the method, target, API key and body, which is the same
// when the request is sent again.
func (j *job) contentDigest() string {
	d := xxhash.New()
	for _, part := range [][]byte{j.request.Header.Method(), []byte(j.request.Target), j.request.Header.Peek(j.f.Headers.APIKey), j.request.Body} {
		_, _ = d.Write(part) // Writes to a hash never fail.
		_, _ = d.Write([]byte{0})
	}
	return strconv.FormatUint(d.Sum64(), 16)
}
