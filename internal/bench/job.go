package bench

import (
	"fmt"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// ending says how a job ended.
type ending string

const (
	endCompleted ending = "completed"
	endRefused   ending = "refused"
	endLeft      ending = "left"
	endFailed    ending = "failed"
)

// job is one request as a caller sent it; a resend is a job of its own.
type job struct {
	id        uint64
	root      *job
	pool      *poolModel
	class     *classSpec
	workspace int
	daemon    int
	prompt    int
	output    int
	prefix    []uint64
	digest    string
	poison    bool
	resends   int

	sent       time.Duration
	arrived    time.Duration
	started    time.Duration // When an engine first began it; zero if none did.
	firstToken time.Duration // When the caller had the first token.
	ended      time.Duration
	ending     ending
	code       failure.Code
	produced   int
	attempts   []*attempt
	// heldBack is true if placement held the job back for a reason of its own, such
	// as having run on an endpoint that crashed.
	heldBack bool
	// answered is set on the root once any of its jobs completed.
	answered bool
}

// attempt is one ask and what came of it.
type attempt struct {
	id       string
	number   uint64
	job      *job
	seq      *sequence
	engine   *engine
	waiting  bool
	done     bool
	sent     time.Duration
	first    time.Duration
	priority int
}

func (s *simulation) newJob(p *poolModel, c *classSpec, poison bool) *job {
	j := &job{
		id: s.nextID(), pool: p, class: c, workspace: drawWorkspace(s.random),
		prompt: drawLength(s.random, c.prompt, p.spec.spread()),
		output: drawLength(s.random, c.output, p.spec.spread()), poison: poison,
	}
	j.root = j
	j.digest = fmt.Sprint("j", j.id)
	if c.prompt > 0 {
		j.prefix = prefixOf(c, j.workspace, j.prompt, j.id)
	}
	return j
}

// send brings a job from its client to a daemon.
func (s *simulation) send(j *job) {
	j.sent = s.clock.elapsed
	j.daemon = s.pickDaemon()
	j.pool.jobs = append(j.pool.jobs, j)
	s.clock.after(s.size.client, func() {
		j.arrived = s.clock.elapsed
		s.clock.after(j.class.patience(), func() { s.leaveLate(j) })
		s.try(j)
	})
}

// patience is how long a caller waits for what its target names.
func (c *classSpec) patience() time.Duration {
	if c.target.FirstTokenMS > 0 {
		return 3 * c.limit()
	}
	return 3 * c.limit() / 2
}

// limit is the latency target that binds.
func (c *classSpec) limit() time.Duration {
	if c.target.FirstTokenMS > 0 {
		return time.Duration(c.target.FirstTokenMS) * time.Millisecond
	}
	return time.Duration(c.target.CompleteMS) * time.Millisecond
}

// leaveLate makes a caller leave that has waited for too long.
func (s *simulation) leaveLate(j *job) {
	if j.ending != "" || (j.class.target.FirstTokenMS > 0 && j.firstToken > 0) {
		return
	}
	a := j.attempts[len(j.attempts)-1]
	s.finish(j, endLeft, failure.ClientGone)
	if a.done {
		return
	}
	if a.waiting {
		j.pool.router.cancel(a)
		return
	}
	s.stop(a)
	s.release(a, routing.ResultCancelled)
}

// stop cancels what runs on the engine.
func (s *simulation) stop(a *attempt) {
	if a.seq != nil {
		s.clock.after(hop, func() { a.engine.cancel(a.seq) })
	}
}

// try asks the router for an endpoint.
func (s *simulation) try(j *job) {
	number := s.nextID()
	a := &attempt{id: fmt.Sprint("a", number), number: number, job: j, waiting: true}
	j.attempts = append(j.attempts, a)
	s.attempts[a.id] = a
	j.pool.router.submit(a)
}

// ask describes an attempt to a pool.
func (s *simulation) ask(a *attempt) routing.PermitRequest {
	j := a.job
	ask := routing.PermitRequest{
		ID: a.id, RequestID: fmt.Sprint("j", j.id), Daemon: daemonName(j.daemon), Pool: j.pool.spec.name,
		Workspace: fmt.Sprint("w", j.workspace), Weight: 1, Profile: j.class.name, Class: j.class.name,
		Tier: j.class.tier, FloorPercent: j.class.floor, Waited: s.clock.elapsed - j.arrived,
		Target: j.class.target, MaxWait: j.class.limit(), PromptTokens: j.prompt, Prefix: j.prefix,
		Digest: j.digest, Repeatable: !j.class.once, Attempt: len(j.attempts),
	}
	for _, earlier := range j.attempts[:len(j.attempts)-1] {
		if earlier.engine != nil {
			ask.Avoid = append(ask.Avoid, earlier.engine.name)
		}
	}
	return ask
}

func daemonName(daemon int) string { return fmt.Sprint("d", daemon) }

func (s *simulation) finish(j *job, end ending, code failure.Code) {
	j.ending, j.code = end, code
	j.ended = s.clock.elapsed + s.size.client
	if end == endCompleted {
		j.root.answered = true
	}
}

// impatientDelay is how soon a caller sends again that ignores Retry-After.
const impatientDelay = 200 * time.Millisecond

// resend sends a job again, if its caller does so.
func (s *simulation) resend(j *job, after time.Duration) {
	if j.resends >= s.scenario.resends || s.clock.elapsed >= loadEnd {
		return
	}
	if s.random.Float64() < s.scenario.impatient {
		after = impatientDelay
	}
	again := *j
	again.id, again.resends, again.attempts, again.heldBack = s.nextID(), j.resends+1, nil, false
	again.firstToken, again.started, again.ended, again.ending, again.code, again.produced = 0, 0, 0, "", "", 0
	s.clock.after(after, func() { s.send(&again) })
}
