package quarantine

import (
	"sync"
	"time"
)

// shard holds the evidence of the digests that hash to it, under its own lock.
type shard struct {
	mu      sync.Mutex
	cfg     Config
	limit   int
	entries map[string]*evidence
	proven  completions
}

func (s *shard) init(cfg Config) {
	s.cfg = cfg
	s.limit = max(1, cfg.MaxEntries/shardCount)
	s.entries = map[string]*evidence{}
	s.proven = completions{span: cfg.CompletionTTL, limit: s.limit}
}

// live returns the evidence on digest, or nil if there is none or it has expired.
func (s *shard) live(now time.Time, digest string) *evidence {
	e, ok := s.entries[digest]
	if !ok {
		return nil
	}
	if !now.Before(e.expires) {
		delete(s.entries, digest)
		return nil
	}
	return e
}

func (s *shard) liveOrNew(now time.Time, digest string) *evidence {
	if e := s.live(now, digest); e != nil {
		return e
	}
	s.makeRoom(now)
	e := &evidence{sightings: map[string]sighting{}, blockAt: uint32(s.cfg.BlockThreshold)}
	s.entries[digest] = e
	return e
}

// makeRoom drops what has expired, then the least needed entry, until one fits.
func (s *shard) makeRoom(now time.Time) {
	if len(s.entries) < s.limit {
		return
	}
	var victim string
	var worst *evidence
	for digest, e := range s.entries {
		if !now.Before(e.expires) {
			delete(s.entries, digest)
			continue
		}
		if worst == nil || e.lessNeeded(worst) || (!worst.lessNeeded(e) && digest < victim) {
			victim, worst = digest, e
		}
	}
	if len(s.entries) >= s.limit {
		delete(s.entries, victim)
	}
}

// lessNeeded orders the entries to drop: clear, then suspect, then blocked, each by expiry.
func (e *evidence) lessNeeded(other *evidence) bool {
	a, b := rank(e.state()), rank(other.state())
	if a != b {
		return a < b
	}
	return e.expires.Before(other.expires)
}

func rank(state State) int {
	switch state {
	case Blocked:
		return 2
	case Suspect:
		return 1
	default:
		return 0
	}
}

func (s *shard) crashed(now time.Time, endpoint, digest string, version func() uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.liveOrNew(now, digest)
	before := e.state()
	e.trial.crashed()
	if !e.crashed(now, endpoint, s.cfg.SameCrash) {
		return
	}
	e.extend(now.Add(s.keepFor(e)))
	s.follow(now, digest, e, before)
	e.version = version()
}

func (s *shard) keepFor(e *evidence) time.Duration {
	if e.state() == Blocked {
		return s.cfg.BlockFor
	}
	return s.cfg.SuspectFor
}

func (e *evidence) extend(expires time.Time) {
	if expires.After(e.expires) {
		e.expires = expires
	}
}

func (s *shard) cleared(now time.Time, digest string, version func() uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proven.add(now, digest)
	e := s.live(now, digest)
	if e == nil {
		return
	}
	switch e.state() {
	case Clear:
		return
	case Blocked:
		if !e.trial.open(s.cfg.MaxFailedProbes) {
			return
		}
	case Suspect:
	}
	e.forgive()
	e.trial = nil
	e.version = version()
}

// follow begins a trial when content that completed lately is blocked, and ends it when
// the block is lifted.
func (s *shard) follow(now time.Time, digest string, e *evidence, before State) {
	state := e.state()
	switch {
	case state != Blocked:
		e.trial = nil
	case before != Blocked && s.proven.has(now, digest):
		e.trial = &trial{due: now.Add(s.cfg.ProbeInterval)}
	}
}

func (s *shard) admit(now time.Time, digest string) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.live(now, digest)
	switch {
	case e == nil || e.state() != Blocked:
		return Decision{Admitted: true}
	case !e.trial.open(s.cfg.MaxFailedProbes):
		return Decision{RetryAfter: e.expires.Sub(now)}
	case now.Before(e.trial.due):
		return Decision{RetryAfter: e.trial.due.Sub(now)}
	}
	e.trial.due, e.trial.running = now.Add(s.cfg.ProbeInterval), true
	return Decision{Admitted: true, Probe: true}
}

func (s *shard) state(now time.Time, digest string) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.live(now, digest)
	if e == nil {
		return Clear
	}
	return e.state()
}

func (s *shard) appendSince(out []Entry, now time.Time, version uint64) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest, e := range s.entries {
		if e.version > version && now.Before(e.expires) {
			out = append(out, e.entry(now, digest))
		}
	}
	return out
}

// merge joins a peer's entry. When two peers' evidence combines to a block, the
// block stands for its full time.
func (s *shard) merge(now time.Time, other Entry, version func() uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.liveOrNew(now, other.Digest)
	before := e.state()
	grew := e.join(now, other.Crashes)
	e.extend(now.Add(min(other.ExpiresIn, s.cfg.BlockFor)))
	if grew && e.state() == Blocked && other.State != Blocked {
		e.extend(now.Add(s.cfg.BlockFor))
	}
	if grew {
		s.follow(now, other.Digest, e, before)
		e.version = version()
	}
}
