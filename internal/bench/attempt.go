package bench

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// granted sends an attempt to its endpoint.
func (s *simulation) granted(a *attempt, endpoint string, priority int) {
	if !a.waiting || a.done {
		return
	}
	a.waiting = false
	a.engine, a.priority, a.sent = a.job.pool.byName[endpoint], priority, s.clock.elapsed
	if a.job.ending != "" {
		s.release(a, routing.ResultCancelled)
		return
	}
	s.clock.after(hop, func() { s.deliver(a) })
}

func (s *simulation) deliver(a *attempt) {
	if a.done {
		return
	}
	j := a.job
	seq := &sequence{
		attempt: a, priority: a.priority, order: a.number, prompt: j.prompt + j.produced,
		output: j.output - j.produced, prefix: j.prefix, poison: j.poison,
	}
	if !a.engine.add(seq) {
		s.clock.after(hop, func() { s.failed(a, routing.ResultNotStarted) })
		return
	}
	a.seq = seq
}

// refused ends a job that was told to come back later.
func (s *simulation) refused(a *attempt, f *failure.Failure) {
	if a.done || !a.waiting {
		return
	}
	s.forget(a)
	if a.job.ending != "" {
		return
	}
	s.finish(a.job, endRefused, f.Code)
	s.resend(a.job, f.RetryAfter)
}

func (s *simulation) started(a *attempt) {
	j := a.job
	if j.started == 0 {
		j.started = s.clock.elapsed
	}
	j.pool.starts = append(j.pool.starts, start{at: s.clock.elapsed, class: j.class})
}

func (s *simulation) firstToken(a *attempt) {
	a.first = s.clock.elapsed + hop
	if a.job.firstToken == 0 {
		a.job.firstToken = a.first + s.size.client
	}
}

func (s *simulation) completed(a *attempt) {
	s.clock.after(hop, func() {
		if a.done {
			return
		}
		s.release(a, routing.ResultCompleted)
		if a.job.ending == "" {
			s.finish(a.job, endCompleted, "")
		}
	})
}

func (s *simulation) broken(a *attempt) {
	s.clock.after(hop, func() { s.failed(a, routing.ResultCrashed) })
}

// failed decides what follows an attempt that an endpoint failed.
func (s *simulation) failed(a *attempt, result routing.Result) {
	if a.done {
		return
	}
	j := a.job
	if a.seq != nil {
		j.produced += a.seq.produced
	}
	s.release(a, result)
	if j.ending != "" {
		return
	}
	verdict := s.retries.Decide(s.clock.now(), retry.Attempt{
		Result: result, Workspace: fmt.Sprint("w", j.workspace), Pool: j.pool.spec.name,
		RunsOnce: j.class.once, ResponseStarted: j.produced > 0, Resumable: true, Number: len(j.attempts),
	})
	if verdict.Action == retry.End {
		s.finish(j, endFailed, verdict.Code)
		s.resend(j, time.Second)
		return
	}
	s.try(j)
}

// lose ends an attempt whose daemon is gone.
func (s *simulation) lose(a *attempt) {
	s.stop(a)
	s.forget(a)
	if a.job.ending == "" {
		s.finish(a.job, endFailed, failure.EndpointFailed)
		s.resend(a.job, reconnect)
	}
}

// reconnect is how soon a caller sends again after its connection broke.
const reconnect = 100 * time.Millisecond

// release reports the end of a grant.
func (s *simulation) release(a *attempt, result routing.Result) {
	s.forget(a)
	a.job.pool.router.release(a, s.reportOf(a, result))
}

func (s *simulation) reportOf(a *attempt, result routing.Result) routing.Report {
	j := a.job
	report := routing.Report{
		AttemptID: a.id, RequestID: fmt.Sprint("j", j.id), Pool: j.pool.spec.name, Endpoint: a.engine.name,
		Workspace: fmt.Sprint("w", j.workspace), Profile: j.class.name, Class: j.class.name,
		Result: result, Digest: j.digest, Elapsed: s.clock.elapsed - a.sent, PromptTokens: j.prompt,
	}
	if a.seq == nil {
		return report
	}
	report.CachedTokens = a.seq.cached
	if a.first > 0 {
		report.FirstToken = a.first - a.sent
	}
	if !j.pool.spec.plain {
		report.OutputTokens = a.seq.produced
	}
	if a.seq.produced > 1 && !j.pool.spec.plain {
		report.TokenGap = (s.clock.elapsed - a.first) / time.Duration(a.seq.produced-1)
	}
	return report
}

func (s *simulation) forget(a *attempt) {
	a.done = true
	delete(s.attempts, a.id)
}

// liveAttempts lists the attempts that have not ended, oldest first.
func (s *simulation) liveAttempts() []*attempt {
	return slices.SortedFunc(maps.Values(s.attempts), func(a, b *attempt) int { return cmp.Compare(a.number, b.number) })
}
