package forward

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
	"github.com/primrosewell/primrosewell/internal/tunnel"
)

// Load pattern: connections break while requests are in progress. A crash probe dials the
// endpoint again: one that crashed refuses the connection and its load must move to others
// at once; one that only lost a response accepts it and stays in use. The same probe
// identifies requests that crash every endpoint that runs them.

const (
	// minProbeInterval is the shortest time between the starts of two crash probes of one endpoint.
	minProbeInterval = 300 * time.Millisecond
	// crashWindow is how long after its connection broke a request still counts as running
	// at the time of a crash.
	crashWindow = time.Second
	// lateReportWindow is how long after an endpoint was found to have crashed a connection that breaks
	// there belongs to that crash. The endpoint takes longer to come back under its ID.
	lateReportWindow = 500 * time.Millisecond
	// confirmDelay is the time after which an endpoint is probed once more if nobody could tell whether
	// it crashed: the others of its service may have crashed just before, which carriers know from
	// evidence that takes a moment. confirmWindow is how long its broken requests are kept for that.
	confirmDelay, confirmWindow = 500 * time.Millisecond, 3 * time.Second
	// maxLoggedContents bounds the contents in the log line of a crash.
	maxLoggedContents = 8
)

// crashProber dials endpoints whose connections broke and reports crashes to the quarantine
// ledgers. It is safe for concurrent use.
type crashProber struct {
	dialer *httpio.Dialer
	// dial opens the connection of a probe.
	dial func(ctx context.Context, address, id string, timeout time.Duration) (*httpio.Conn, error)
	// contents holds the evidence on whole requests, and parts that on parts of prompts.
	contents, parts *parts.Ledger
	log             *logrus.Logger

	mu sync.Mutex
	// broken, running and lastProbe are by endpoint ID.
	broken    map[string][]brokenRequest
	running   map[string]*crashProbe
	lastProbe map[string]time.Time
	// scheduled has the endpoints of which a probe will start.
	scheduled map[string]bool
	// crashedAt is when a probe last found that the endpoint had crashed.
	crashedAt map[string]time.Time
}

// crashProbe is a running probe.
type crashProbe struct {
	// reporting holds the requests that the probe is reporting as having run at the crash. It is
	// guarded by crashProber.mu.
	reporting []brokenRequest
	// done closes when the probe's result is in the ledgers.
	done chan struct{}
}

// brokenRequest is a request that was in progress at an endpoint when its connection broke.
type brokenRequest struct {
	content parts.Key
	// unbegun holds the parts of its prompt if its response had not begun, and nothing otherwise.
	unbegun parts.Chain
	at      time.Time
	// unconfirmed is set if a probe could not tell whether the endpoint crashed.
	unconfirmed bool
}

func newCrashProber(dialer *httpio.Dialer, contents, partLedger *parts.Ledger, log *logrus.Logger) *crashProber {
	return &crashProber{
		dialer: dialer, dial: dialer.Dial, contents: contents, parts: partLedger, log: log,
		broken: make(map[string][]brokenRequest), running: make(map[string]*crashProbe), lastProbe: make(map[string]time.Time), crashedAt: make(map[string]time.Time),
		scheduled: make(map[string]bool),
	}
}

// reportBroken records a request whose connection broke and has the endpoint probed, minProbeInterval
// after the last probe at the earliest. An endpoint that leaves or asked to be left alone is not
// probed: the first one refuses connections without a crash.
func (p *crashProber) reportBroken(choice *balance.Choice, content parts.Key, unbegun parts.Chain) {
	now := time.Now()
	if choice.Withdrawn(now) != balance.NotWithdrawn {
		return
	}
	request := brokenRequest{content: content, unbegun: unbegun, at: now}
	p.mu.Lock()
	if now.Sub(p.crashedAt[choice.ID]) < lateReportWindow {
		p.mu.Unlock()
		p.report(now, choice, []brokenRequest{request}, "found by an earlier probe")
		return
	}
	p.broken[choice.ID] = append(p.recentlyBroken(choice.ID, now), request)
	p.scheduleProbe(now, choice)
	p.mu.Unlock()
}

// scheduleProbe starts a probe of the endpoint as soon as minProbeInterval has passed since the last
// one, unless one is scheduled: the endpoint may have crashed since. The caller holds p.mu.
func (p *crashProber) scheduleProbe(now time.Time, choice *balance.Choice) {
	wait := minProbeInterval - now.Sub(p.lastProbe[choice.ID])
	switch {
	case p.scheduled[choice.ID]:
	case wait <= 0:
		p.startProbe(now, choice)
	default:
		p.scheduled[choice.ID] = true
		time.AfterFunc(wait, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.scheduled, choice.ID)
			if len(p.broken[choice.ID]) > 0 { // Otherwise an earlier probe has reported them.
				p.startProbe(time.Now(), choice)
			}
		})
	}
}

// startProbe starts a probe of the endpoint. The caller holds p.mu.
func (p *crashProber) startProbe(now time.Time, choice *balance.Choice) {
	probe := &crashProbe{done: make(chan struct{})}
	p.lastProbe[choice.ID], p.running[choice.ID] = now, probe
	go func() {
		p.run(probe, choice)
		p.mu.Lock()
		if p.running[choice.ID] == probe {
			delete(p.running, choice.ID)
		}
		p.mu.Unlock()
		close(probe.done)
	}()
}

// await waits for the running probes of endpoints at which a request with that content broke,
// so that content which may just have crashed an endpoint is not sent to another one before
// that is known. A probe takes up to dialTimeout; await ends earlier if ctx does.
func (p *crashProber) await(ctx context.Context, content parts.Key) {
	for _, done := range p.probesOf(content) {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

func (p *crashProber) probesOf(content parts.Key) (probes []chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	concerned := func(r brokenRequest) bool { return r.content == content }
	for id, probe := range p.running {
		if slices.ContainsFunc(p.broken[id], concerned) || slices.ContainsFunc(probe.reporting, concerned) {
			probes = append(probes, probe.done)
		}
	}
	return probes
}

// recentlyBroken returns the requests whose connections to an endpoint broke within
// crashWindow, and those that wait for a second probe. The caller holds p.mu.
func (p *crashProber) recentlyBroken(id string, now time.Time) []brokenRequest {
	var requests []brokenRequest
	for _, request := range p.broken[id] {
		if age := now.Sub(request.at); age < crashWindow || request.unconfirmed && age < confirmWindow {
			requests = append(requests, request)
		}
	}
	return requests
}

// run dials the endpoint. If that fails, the endpoint is marked as dead and its recently
// broken requests are reported as having run at the crash, unless this gateway may be cut off.
func (p *crashProber) run(probe *crashProbe, choice *balance.Choice) {
	conn, err := p.dial(context.Background(), choice.Address, "", dialTimeout)
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
	if errors.Is(err, tunnel.ErrUnconfirmed) {
		again := p.keepUnconfirmed(now, choice)
		p.log.WithFields(logrus.Fields{"event": "crash_unconfirmed", "endpoint": choice.ID, "address": choice.Address, "probed_again": again, "error": err}).Warn("a connection broke, and nobody could tell whether the endpoint crashed")
		return
	}
	choice.CrashProbeFailed(now)
	p.mu.Lock()
	probe.reporting = p.recentlyBroken(choice.ID, now)
	p.noteCrash(choice.ID, now)
	delete(p.broken, choice.ID)
	p.mu.Unlock()
	p.report(now, choice, probe.reporting, err.Error())
}

// keepUnconfirmed keeps the requests that broke since the probe before for one more probe, after
// confirmDelay, and reports whether there are any.
func (p *crashProber) keepUnconfirmed(now time.Time, choice *balance.Choice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := lo.Reject(p.recentlyBroken(choice.ID, now), func(r brokenRequest, _ int) bool { return r.unconfirmed })
	if len(kept) == 0 || choice.Withdrawn(now) != balance.NotWithdrawn {
		delete(p.broken, choice.ID)
		return false
	}
	for i := range kept {
		kept[i].unconfirmed = true
	}
	p.broken[choice.ID] = kept
	time.AfterFunc(confirmDelay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		// A connection that broke meanwhile has had the endpoint probed.
		if p.running[choice.ID] == nil && slices.ContainsFunc(p.broken[choice.ID], func(r brokenRequest) bool { return r.unconfirmed }) {
			p.startProbe(time.Now(), choice)
		}
	})
	return true
}

// noteCrash remembers the crash of an endpoint for lateReportWindow. The caller holds p.mu.
func (p *crashProber) noteCrash(id string, now time.Time) {
	maps.DeleteFunc(p.crashedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= lateReportWindow })
	p.crashedAt[id] = now
}

// report adds the crash of an endpoint, under which these requests broke, to the evidence.
func (p *crashProber) report(now time.Time, choice *balance.Choice, requests []brokenRequest, cause string) {
	contents := lo.Map(requests, func(r brokenRequest, _ int) parts.Chain { return parts.Chain{r.content} })
	unbegun := lo.FilterMap(requests, func(r brokenRequest, _ int) (parts.Chain, bool) { return r.unbegun, len(r.unbegun) > 0 })
	// Other gateways may have found a crash at once that this one had to ask about again.
	age := time.Duration(0)
	if unconfirmed := lo.Filter(requests, func(r brokenRequest, _ int) bool { return r.unconfirmed }); len(unconfirmed) > 0 {
		age = now.Sub(unconfirmed[0].at)
	}
	endpoint := parts.EndpointKeyOf(choice.ID)
	p.contents.Merge(now, parts.Evidence{Crashes: []parts.Crash{{Endpoint: endpoint, Age: age, Chains: contents}}})
	p.parts.Merge(now, parts.Evidence{Crashes: []parts.Crash{{Endpoint: endpoint, Age: age, Chains: unbegun}}})
	p.log.WithFields(logrus.Fields{"event": "crash", "endpoint": choice.ID, "address": choice.Address, "running": len(requests), "unbegun": len(unbegun), "contents": p.describe(contents), "error": cause}).Warn("endpoint crashed: a connection broke and the crash probe could not connect")
}

// describe returns the contents that ran at a crash for the log, each with its number of crashes.
func (p *crashProber) describe(contents []parts.Chain) []string {
	return lo.Map(lo.Slice(contents, 0, maxLoggedContents), func(content parts.Chain, _ int) string {
		return fmt.Sprintf("%s:%d", content[0], p.contents.CountCrashes(content[0]))
	})
}

// contentKey returns a key of the method, target, API key and body, which is the same when the
// request is sent again.
func (j *job) contentKey() parts.Key {
	d := xxhash.New()
	for _, part := range [][]byte{j.request.Header.Method(), []byte(j.request.Target), j.request.Header.Peek(j.f.Headers.APIKey), j.request.Body} {
		_, _ = d.Write(part) // Writes to a hash never fail.
		_, _ = d.Write([]byte{0})
	}
	return parts.Key(d.Sum64())
}
