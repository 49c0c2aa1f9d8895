package balance

import (
	"slices"
	"time"
)

const (
	// runningRequestWork is the cost that each running request adds for the next one, in
	// prompt tokens.
	runningRequestWork = 250
	// overflowRequestWork is the cost, in prompt tokens, of each request beyond the endpoint's
	// slots: the next request waits until one ends, which takes about as long as prefilling
	// this many tokens.
	overflowRequestWork = 8000
	// failurePenalty is the cost of an endpoint whose failure rate is 1, in prompt tokens. It
	// is scaled by the failure rate.
	failurePenalty = 60000
	// warmUpFactor is the assumed slowdown of an endpoint during its warm-up.
	warmUpFactor = 1.6
	// otherDataCentreWork is the cost of an endpoint in another data centre, in prompt tokens.
	otherDataCentreWork = 40
	// tieBreakWork bounds the random cost, in prompt tokens, that spreads requests over
	// endpoints of about equal cost.
	tieBreakWork = 60
	// plainRequestWork is the work of a request with no prompt left to prefill, such as one of
	// a plain service, in prompt tokens.
	plainRequestWork = 1500
	// prefillWeight is the cost of a prompt token that this request must prefill, relative to
	// a token already pending at the endpoint. It is above 1 because, under load, each token
	// that is prefilled a second time delays every request of the pool and not just this one.
	prefillWeight = 12.0
	// medianMaxAge is how long a computed median latency is reused. Recomputing it for each
	// request would gain little, as the latency of an endpoint changes over several responses.
	medianMaxAge = 20 * time.Millisecond
	// fetchWeight is the cost of a prompt token fetched from another endpoint's cache,
	// relative to a token already pending at the endpoint: the copy takes a few milliseconds,
	// and the traffic has a price.
	fetchWeight = 9.0
	// minFetchTokens is the number of tokens from which a fetch costs less than prefilling them.
	minFetchTokens = 1000
)

// scoredEndpoint is an endpoint with its cost for one request.
type scoredEndpoint struct {
	endpoint      *endpoint
	cost          float64
	pendingTokens int
	reason        string
	// fetchSource is another endpoint from which shared parts of the prompt can be fetched.
	fetchSource *endpoint
}

// score returns the candidate of lowest cost. The cost is the work to be done before the first
// event of the response, in prompt tokens, multiplied by the endpoint's slowness.
func (p *Pool) score(now time.Time, request Request, parts []hashedPart, candidates []*endpoint) scoredEndpoint {
	median := p.medianUnitLatency(now)
	part, sharedTokens := affinityPart(parts)
	affinity := p.affinityEndpoint(part, sharedTokens)
	p.cachedTokens = p.cachedTokens[:0]
	for _, e := range candidates {
		p.cachedTokens = append(p.cachedTokens, e.cache.cachedTokens(now, parts))
	}
	source, sourceTokens := p.fetchSource(now, candidates, affinity, sharedTokens)
	interactive := request.interactive()
	drawn := newSample(candidates, p.daemons)
	minCached := max(minAffinityTokens, sharedTokens/2)
	loadWeight, unreported := p.loadWeight(), p.unreportedWork(now)
	var best scoredEndpoint
	for i, e := range candidates {
		if !drawn.draw(e, p.random.Float64) && e != affinity && p.cachedTokens[i] < minCached {
			continue // A cached head alone is common; see Load pattern in sample.go.
		}
		s := scoredEndpoint{endpoint: e, pendingTokens: request.PromptTokens, reason: "load"}
		// This daemon may have sent only the first shared parts to the affinity endpoint; others
		// send it the rest.
		affinityTokens := int(affinityHitShare * float64(sharedTokens))
		if cached := p.cachedTokens[i]; e == affinity && cached < affinityTokens {
			s.pendingTokens, s.reason = request.PromptTokens-affinityTokens, "home"
		} else if cached > 0 {
			s.pendingTokens, s.reason = max(0, request.PromptTokens-cached), "cached"
		}
		if fetched := s.pendingTokens - (request.PromptTokens - sourceTokens); source != nil && source != e && fetched >= minFetchTokens {
			s.fetchSource = source
			s.pendingTokens -= fetched
			s.cost = fetchWeight * float64(fetched)
			if s.reason == "load" {
				s.reason = "fetch"
			}
		}
		s.cost += p.cost(now, e, s.pendingTokens, loadWeight, median)
		s.cost += p.reservationPenalty(e, interactive)
		if work := unreported[groupOf(e)]; work > 0 {
			s.cost += work * p.random.Float64()
		}
		if best.endpoint == nil || s.cost < best.cost {
			best = s
		}
	}
	if best.fetchSource == nil && source != best.endpoint && best.reason == "home" {
		best.fetchSource = source // The affinity endpoint may have lost its cache; nothing is copied if it still has the parts.
	}
	return best
}

// fetchSource returns the endpoint that holds most of the shared parts of a prompt, and the
// number of tokens it holds. It prefers endpoints to which this daemon sent the parts, and
// else takes the affinity endpoint.
func (p *Pool) fetchSource(now time.Time, candidates []*endpoint, affinity *endpoint, sharedTokens int) (*endpoint, int) {
	if sharedTokens < minFetchTokens {
		return nil, 0
	}
	var best *endpoint
	most := 0
	for i, e := range candidates {
		if cached := min(sharedTokens, p.cachedTokens[i]); cached > most && e.health.available(now) {
			best, most = e, cached
		}
	}
	if best != nil {
		return best, most
	}
	if affinity != nil && affinity.health.available(now) {
		return affinity, int(affinityHitShare * float64(sharedTokens))
	}
	return nil, 0
}

// cost returns the cost of an endpoint at which promptTokens would have to be prefilled, in
// prompt tokens.
func (p *Pool) cost(now time.Time, e *endpoint, promptTokens int, loadWeight, median float64) float64 {
	requestWork := float64(runningRequestWork)
	if promptTokens == 0 {
		requestWork = plainRequestWork
	}
	load := float64(e.pendingTokens+e.remote.PendingTokens) + requestWork*float64(e.running+e.remote.Running+1)
	work := prefillWeight*float64(promptTokens) + loadWeight*load
	work += overflowRequestWork * float64(max(0, e.running+e.remote.Running+1-e.Slots))
	work += e.pace.extraWork(now, float64(promptTokens)+loadWeight*load, float64(p.idleTokenTime))
	work *= e.health.slowness(now, median)
	if now.Before(e.warmUntil) {
		work *= warmUpFactor
	}
	work += failurePenalty * e.health.failureRate(now)
	if e.DataCentre != p.dataCentre {
		work += otherDataCentreWork
	}
	return work + tieBreakWork*p.random.Float64()
}

// affinityEndpoint returns the endpoint that all daemons with the same endpoint list prefer
// for a part. Reserved endpoints and those in backoff are left out.
func (p *Pool) affinityEndpoint(part uint64, sharedTokens int) *endpoint {
	if sharedTokens == 0 {
		return nil
	}
	var best *endpoint
	var rank uint64
	for _, e := range p.order {
		if e.reserved || e.backedOff() || len(p.limits) > 0 && p.limits.of(e.Endpoint) != nil {
			continue
		}
		if r := rendezvous(part, e.hash); best == nil || r > rank {
			best, rank = e, r
		}
	}
	return best
}

// medianUnitLatency returns the lower median of the known unit latencies, in ns; zero if none
// is known.
func (p *Pool) medianUnitLatency(now time.Time) float64 {
	if now.Sub(p.medianAt) < medianMaxAge {
		return p.medianLatency
	}
	latencies := make([]float64, 0, len(p.order))
	for _, e := range p.order {
		if e.health.unitLatency > 0 {
			latencies = append(latencies, e.health.unitLatency)
		}
	}
	p.medianLatency, p.medianAt = 0, now
	if len(latencies) > 0 {
		slices.Sort(latencies)
		p.medianLatency = latencies[(len(latencies)-1)/2]
	}
	return p.medianLatency
}
