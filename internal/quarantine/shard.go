package quarantine

import (
	"sync"
	"time"
)

// shard holds the evidence of the digests that hash to it, under its own lock.
type shard struct {
	mu         sync.Mutex
	cfg        Config
	maxEntries int
	entries    map[string]*evidence
}

func (s *shard) init(cfg Config) {
	s.cfg = cfg
	s.maxEntries = max(1, cfg.MaxEntries/shardCount)
	s.entries = map[string]*evidence{}
}

// lookup returns the evidence on digest, or nil if there is none or it has expired.
func (s *shard) lookup(now time.Time, digest string) *evidence {
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

func (s *shard) lookupOrCreate(now time.Time, digest string) *evidence {
	if e := s.lookup(now, digest); e != nil {
		return e
	}
	s.evictIfFull(now)
	e := &evidence{byEndpoint: map[string]crashCount{}, blockThreshold: uint32(s.cfg.BlockThreshold)}
	s.entries[digest] = e
	return e
}

// evictIfFull makes room for one entry in a full shard. It drops the expired entries and,
// if the shard is still full, the entry that evictedBefore puts first.
func (s *shard) evictIfFull(now time.Time) {
	if len(s.entries) < s.maxEntries {
		return
	}
	var evictDigest string
	var evict *evidence
	for digest, e := range s.entries {
		if !now.Before(e.expires) {
			delete(s.entries, digest)
			continue
		}
		if evict == nil || e.evictedBefore(evict) || (!evict.evictedBefore(e) && digest < evictDigest) {
			evictDigest, evict = digest, e
		}
	}
	if len(s.entries) >= s.maxEntries {
		delete(s.entries, evictDigest)
	}
}

// evictedBefore orders entries for eviction: clear, then suspect, then blocked, and within
// a state by expiry.
func (e *evidence) evictedBefore(other *evidence) bool {
	a, b := severity(e.state()), severity(other.state())
	if a != b {
		return a < b
	}
	return e.expires.Before(other.expires)
}

func severity(state State) int {
	switch state {
	case Blocked:
		return 2
	case Suspect:
		return 1
	default:
		return 0
	}
}

func (s *shard) recordCrash(now time.Time, endpoint, digest string, nextVersion func() uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.lookupOrCreate(now, digest)
	if !e.recordCrash(now, endpoint, s.cfg.DedupWindow) {
		return
	}
	e.extendExpiry(now.Add(s.retention(e)))
	e.version = nextVersion()
}

func (s *shard) retention(e *evidence) time.Duration {
	if e.state() == Blocked {
		return s.cfg.BlockFor
	}
	return s.cfg.SuspectFor
}

func (e *evidence) extendExpiry(expires time.Time) {
	if expires.After(e.expires) {
		e.expires = expires
	}
}

func (s *shard) recordCompletion(now time.Time, digest string, nextVersion func() uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.lookup(now, digest)
	if e == nil || e.state() != Suspect {
		return
	}
	e.clearCrashes()
	e.version = nextVersion()
}

func (s *shard) state(now time.Time, digest string) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.lookup(now, digest)
	if e == nil {
		return Clear
	}
	return e.state()
}

func (s *shard) crashedSince(now, since time.Time, digest string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.lookup(now, digest)
	if e == nil {
		return nil
	}
	return e.crashedSince(since)
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

// merge joins the entry of another daemon. If the digest becomes blocked only by the
// evidence of both, the block lasts for the full BlockFor.
func (s *shard) merge(now time.Time, other Entry, nextVersion func() uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.lookupOrCreate(now, other.Digest)
	grew := e.join(now, other.Crashes)
	e.extendExpiry(now.Add(min(other.ExpiresIn, s.cfg.BlockFor)))
	if grew && e.state() == Blocked && other.State != Blocked {
		e.extendExpiry(now.Add(s.cfg.BlockFor))
	}
	if grew {
		e.version = nextVersion()
	}
}
