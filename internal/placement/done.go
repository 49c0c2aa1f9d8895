package placement

import (
	"math"
	"time"

	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/limit"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Done releases a placement and records its outcome. Reports for unknown or already
// released attempts are ignored.
func (f *Fleet) Done(now time.Time, report routing.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.runs[report.AttemptID]
	if !ok {
		return
	}
	if report.Result == routing.ResultCrashed {
		f.recordCrash(now, r)
	}
	onlyRequest := r.endpoint.running.len == 1
	f.untrack(r)
	f.recordSample(now, r, report, onlyRequest)
	if report.Result == routing.ResultCompleted {
		f.recordCompletion(now, r, report)
	}
	if r.suspect {
		f.reserveForNext(now, r.endpoint)
	}
	f.refresh(now, r.endpoint)
	f.dropIfIdle(r.endpoint)
}

// untrack removes a run from the endpoint's and the fleet's counts.
func (f *Fleet) untrack(r *run) {
	e := r.endpoint
	e.running.remove(r)
	delete(f.runs, r.attemptID)
	f.tiers[r.tier]--
	f.copies.remove(r.digest, e)
	if r.suspect {
		e.suspects--
		f.suspects.running--
	}
}

// recordCrash reports the digests of all requests that were running on the endpoint
// to the quarantine register. Runs sent before the last recorded crash are excluded:
// their failures are late reports of that same crash.
func (f *Fleet) recordCrash(now time.Time, r *run) {
	e := r.endpoint
	if !r.sent.After(e.lastCrash) {
		return
	}
	var digests []string
	for running := e.running.first; running != nil; running = running.next {
		if running.sent.After(e.lastCrash) {
			digests = append(digests, running.digest)
		}
	}
	e.lastCrash = now
	e.cacheEpoch++
	f.cfg.Quarantine.Crashed(now, e.config.Name, digests)
}

// recordSample passes the report to the endpoint's health and concurrency limit.
func (f *Fleet) recordSample(now time.Time, r *run, report routing.Report, onlyRequest bool) {
	e := r.endpoint
	stateBefore := e.health.State(now)
	uncached := uncachedTokens(r, report)
	e.health.Observe(now, health.Sample{
		Result:         report.Result,
		Daemon:         r.daemon,
		Sent:           r.sent,
		OnlyRequest:    onlyRequest,
		Probe:          r.probe,
		FirstToken:     report.FirstToken,
		Gap:            report.TokenGap,
		Elapsed:        report.Elapsed,
		UncachedTokens: uncached,
	})
	if stateBefore != health.Healthy && e.health.State(now) == health.Healthy {
		e.limiter.BeginSlowStart(now)
	}
	if report.Result != routing.ResultCompleted {
		return
	}
	e.limiter.Observe(now, limit.Sample{
		Sent:             r.sent,
		InFlight:         r.inFlight,
		FirstToken:       report.FirstToken,
		Gap:              report.TokenGap,
		FirstTokenRatio:  f.health.Baseline().FirstTokenRatio(report.FirstToken, uncached),
		FirstTokenTarget: r.target.FirstToken(),
		GapTarget:        r.target.BetweenTokens(),
	})
}

func uncachedTokens(r *run, report routing.Report) int {
	promptTokens := report.PromptTokens
	if promptTokens == 0 {
		promptTokens = r.promptTokens
	}
	return max(promptTokens-report.CachedTokens, 0)
}

// recordCompletion clears the digest of suspicion and counts the output. If none of
// the expected prefix was cached, it removes that prefix from the index.
func (f *Fleet) recordCompletion(now time.Time, r *run, report routing.Report) {
	if r.digest != "" {
		f.cfg.Quarantine.Cleared(now, r.digest)
		f.copies.markCompleted(r.digest)
	}
	f.output.add(now, report.OutputTokens)
	if r.matched > 0 && report.PromptTokens > 0 && report.CachedTokens == 0 {
		f.prefixes.evictPrefix(r.prefix, r.endpoint.slot)
	}
}

// outputWindow is the time constant of the output rate's exponential decay.
const outputWindow = 10 * time.Second

// outputRate is an exponentially decaying average of generated tokens per second.
type outputRate struct {
	tokens  float64
	updated time.Time
}

func (o *outputRate) decay(now time.Time) {
	if elapsed := now.Sub(o.updated); elapsed > 0 {
		o.tokens *= math.Exp(-elapsed.Seconds() / outputWindow.Seconds())
		o.updated = now
	}
}

func (o *outputRate) add(now time.Time, tokens int) {
	o.decay(now)
	o.tokens += float64(tokens)
}

func (o *outputRate) perSecond(now time.Time) float64 {
	o.decay(now)
	return o.tokens / outputWindow.Seconds()
}
