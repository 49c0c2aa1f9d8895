package placement

import (
	"math"
	"time"

	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/limit"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Done ends a placement. A report on an unknown or ended placement is ignored.
func (f *Fleet) Done(now time.Time, report routing.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.runs[report.AttemptID]
	if !ok {
		return
	}
	if report.Result == routing.ResultCrashed {
		f.crashed(now, r)
	}
	alone := r.endpoint.running.len == 1
	f.uncount(r)
	f.observe(now, r, report, alone)
	if report.Result == routing.ResultCompleted {
		f.completed(now, r, report)
	}
	if r.suspect {
		f.keepForNext(now, r.endpoint)
	}
	f.refresh(now, r.endpoint)
	f.dropIfDone(r.endpoint)
}

// uncount takes a run out of the endpoint's and the fleet's counts.
func (f *Fleet) uncount(r *run) {
	e := r.endpoint
	e.running.remove(r)
	delete(f.runs, r.askID)
	f.tiers[r.tier]--
	f.copies.remove(r.digest, e)
	if r.suspect {
		e.suspects--
		f.suspects.running--
	}
}

// crashed records that everything on the endpoint is suspect. A run from before
// the last crash is late evidence of that same crash.
func (f *Fleet) crashed(now time.Time, r *run) {
	e := r.endpoint
	if !r.sent.After(e.lastCrash) {
		return
	}
	var digests []string
	for other := e.running.first; other != nil; other = other.next {
		if other.sent.After(e.lastCrash) {
			digests = append(digests, other.digest)
		}
	}
	e.lastCrash = now
	e.cacheEpoch++
	f.cfg.Quarantine.Crashed(now, e.config.Name, digests)
}

// observe shows the report to the judgement of health and to the limit.
func (f *Fleet) observe(now time.Time, r *run, report routing.Report, alone bool) {
	e := r.endpoint
	before := e.health.State(now)
	uncached := uncachedTokens(r, report)
	e.health.Observe(now, health.Sample{
		Result:         report.Result,
		Daemon:         r.daemon,
		Sent:           r.sent,
		Alone:          alone,
		Probe:          r.probe,
		FirstToken:     report.FirstToken,
		Gap:            report.TokenGap,
		Elapsed:        report.Elapsed,
		UncachedTokens: uncached,
	})
	if before != health.Healthy && e.health.State(now) == health.Healthy {
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
		FirstTokenRatio:  f.health.Typical().FirstTokenRatio(report.FirstToken, uncached),
		FirstTokenTarget: r.target.FirstToken(),
		GapTarget:        r.target.BetweenTokens(),
	})
}

func uncachedTokens(r *run, report routing.Report) int {
	prompt := report.PromptTokens
	if prompt == 0 {
		prompt = r.promptTokens
	}
	return max(prompt-report.CachedTokens, 0)
}

// completed clears the digest, and corrects the belief about the endpoint's cache.
func (f *Fleet) completed(now time.Time, r *run, report routing.Report) {
	if r.digest != "" {
		f.cfg.Quarantine.Cleared(now, r.digest)
		f.copies.proved(r.digest)
	}
	f.output.add(now, report.OutputTokens)
	if r.matched > 0 && report.PromptTokens > 0 && report.CachedTokens == 0 {
		f.prefixes.forget(r.prefix, r.endpoint.slot)
	}
}

// outputWindow is the time over which the output rate is averaged.
const outputWindow = 10 * time.Second

// outputRate is a decaying average of the tokens generated each second.
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
