// Package quarantine detects and blocks requests whose content crashes endpoints.
//
// A request is identified by the digest of its content. A digest that was running on
// an endpoint when it crashed is a suspect, and suspects run isolated. A digest with
// two crashes (by default) is blocked: every daemon refuses it until the block expires.
// The evidence is a join semilattice, so that daemons may exchange it in any
// order and more than once.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State says how requests with a digest are treated.
type State string

const (
	// Clear digests run without restriction.
	Clear State = "clear"
	// Suspect digests run isolated, with no other request on the endpoint.
	Suspect State = "suspect"
	// Blocked digests are refused.
	Blocked State = "blocked"
)

// Crash counts the crashes of one endpoint under a digest. Both counts only grow.
type Crash struct {
	Endpoint string `json:"endpoint"`
	// Total counts all crashes.
	Total uint32 `json:"seen"`
	// Cleared counts the crashes that a later completion cleared.
	Cleared uint32 `json:"forgiven,omitempty"`
}

// Entry is the evidence on one digest, as daemons exchange it.
type Entry struct {
	Digest string `json:"digest"`
	// State is derived from Crashes. Merge computes it anew.
	State   State   `json:"state"`
	Crashes []Crash `json:"crashes"`
	// ExpiresIn is the time to expiry: a duration, so that daemons' clocks are never compared.
	ExpiresIn time.Duration `json:"expires_in"`
	// Version is the sender's version of the entry; see EntriesSince. Merge ignores it.
	Version uint64 `json:"version"`
}

// Config configures a Register. Zero fields take the defaults, where there is one.
type Config struct {
	// SuspectFor is how long a digest stays a suspect after its last crash.
	SuspectFor time.Duration
	// BlockFor is how long a digest stays blocked after its last crash.
	BlockFor time.Duration
	// DedupWindow is the time within which several reports of one endpoint's crash count once.
	DedupWindow time.Duration
	// MaxEntries bounds the number of digests in the register.
	MaxEntries int
	// BlockThreshold is the number of uncleared crashes at which a digest is blocked.
	BlockThreshold int
}

// Defaults of Config.
const (
	DefaultSuspectFor     = 5 * time.Minute
	DefaultBlockFor       = 15 * time.Minute
	DefaultDedupWindow    = 3 * time.Second
	DefaultMaxEntries     = 8192
	DefaultBlockThreshold = 2
)

// shardCount must be a power of two, since the shard index is a bit mask of the hash.
const shardCount = 16

// Register holds the evidence on all digests. It is bounded, sharded by digest, and safe
// for concurrent use.
type Register struct {
	cfg     Config
	shards  [shardCount]shard
	version versionCounter
}

// New returns an empty register.
func New(cfg Config) *Register {
	r := &Register{cfg: cfg.withDefaults()}
	for i := range r.shards {
		r.shards[i].init(r.cfg)
	}
	return r
}

func (c Config) withDefaults() Config {
	if c.SuspectFor <= 0 {
		c.SuspectFor = DefaultSuspectFor
	}
	if c.BlockFor <= 0 {
		c.BlockFor = DefaultBlockFor
	}
	if c.DedupWindow <= 0 {
		c.DedupWindow = DefaultDedupWindow
	}
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	if c.BlockThreshold <= 0 {
		c.BlockThreshold = DefaultBlockThreshold
	}
	return c
}

func (r *Register) shard(digest string) *shard {
	return &r.shards[xxhash.Sum64String(digest)&(shardCount-1)]
}

// Crashed records that endpoint crashed while the digests in running ran on it.
// Several reports of one crash, from several requests or callers, count once.
func (r *Register) Crashed(now time.Time, endpoint string, running []string) {
	for _, digest := range running {
		if digest == "" {
			continue
		}
		r.shard(digest).recordCrash(now, endpoint, digest, r.version.next)
	}
}

// Cleared records that a request with that digest ran to completion. It clears the
// crashes of a suspect, since its content does not crash every endpoint that runs it.
// Those of a blocked digest are not cleared.
func (r *Register) Cleared(now time.Time, digest string) {
	r.shard(digest).recordCompletion(now, digest, r.version.next)
}

// State returns the state of digest; an unknown digest is Clear.
func (r *Register) State(now time.Time, digest string) State {
	return r.shard(digest).state(now, digest)
}

// CrashedSince returns the endpoints on which an uncleared crash was counted under digest
// at or after since.
func (r *Register) CrashedSince(now, since time.Time, digest string) []string {
	return r.shard(digest).crashedSince(now, since, digest)
}

// Entries returns all entries that have not expired, sorted by digest. It includes
// cleared ones, so that evidence that arrives late does not make a digest suspect again.
func (r *Register) Entries(now time.Time) []Entry {
	entries, _ := r.EntriesSince(now, 0)
	return entries
}

// EntriesSince returns the entries that changed after version, sorted by digest,
// and the version to pass in the next call. It lets a heartbeat carry changes only.
func (r *Register) EntriesSince(now time.Time, version uint64) ([]Entry, uint64) {
	current := r.version.current()
	var out []Entry
	for i := range r.shards {
		out = r.shards[i].appendSince(out, now, version)
	}
	sortEntries(out)
	return out, current
}

// Merge adds the evidence of another daemon. It is idempotent, and the order in which
// entries arrive does not matter. Entries without a digest, crashes or time left are skipped.
func (r *Register) Merge(now time.Time, entries []Entry) {
	for _, e := range entries {
		if e.Digest == "" || len(e.Crashes) == 0 || e.ExpiresIn <= 0 {
			continue
		}
		r.shard(e.Digest).merge(now, e, r.version.next)
	}
}
