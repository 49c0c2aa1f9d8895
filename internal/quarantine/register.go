// Package quarantine keeps the evidence against requests that crash endpoints.
//
// A request is known by the digest of its content. A digest that was running on
// an endpoint when it crashed is a suspect, and suspects run alone. A digest
// with two crashes is blocked: every daemon refuses it until the block expires.
// The evidence is a join semilattice, so that daemons may exchange it in any
// order and more than once.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what the register holds against a digest.
type State string

const (
	// Clear digests run as usual.
	Clear State = "clear"
	// Suspect digests run alone on an endpoint.
	Suspect State = "suspect"
	// Blocked digests are refused.
	Blocked State = "blocked"
)

// Crash counts the crashes of one endpoint under a digest. Both counts only grow.
type Crash struct {
	Endpoint string `json:"endpoint"`
	// Seen counts the crashes.
	Total uint32 `json:"seen"`
	// Forgiven counts those of Seen that a later completion explained away.
	Cleared uint32 `json:"forgiven,omitempty"`
}

// Entry is the evidence about one digest, in the form in which daemons exchange it.
type Entry struct {
	Digest string `json:"digest"`
	// State follows from Crashes; Merge works it out again.
	State   State   `json:"state"`
	Crashes []Crash `json:"crashes"`
	// ExpiresIn is the time left. A duration is sent, so that no wall clocks are compared.
	ExpiresIn time.Duration `json:"expires_in"`
	// Version is the sender's own change counter; see EntriesSince. Merge ignores it.
	Version uint64 `json:"version"`
}

// Config sets the bounds of a Register. Zero fields take the defaults.
type Config struct {
	// SuspectFor is how long a suspect is remembered after its last crash.
	SuspectFor time.Duration
	// BlockFor is how long a block stands after the last crash.
	BlockFor time.Duration
	// SameCrash is the time within which several sightings of one endpoint's crash count once.
	SameCrash time.Duration
	// MaxEntries bounds the digests held.
	MaxEntries int
	// BlockAt is the number of unforgiven crashes at which a digest is blocked.
	BlockThreshold int
	// ProvenFor is how long a completion speaks for its content: blocked content that
	// completed here within that time before the block is tried again. 0: never.
	CompletionTTL time.Duration
	// ProbeEvery is the time between two requests of such content that may run.
	ProbeInterval time.Duration
	// MaxProbes is the number of them that may crash an endpoint before the block stands.
	MaxFailedProbes int
}

// Defaults of Config.
const (
	DefaultSuspectFor     = 5 * time.Minute
	DefaultBlockFor       = 15 * time.Minute
	DefaultDedupWindow    = 3 * time.Second
	DefaultMaxEntries     = 8192
	DefaultBlockThreshold = 2
)

// shardCount is a power of two.
const shardCount = 16

// Register holds the evidence. It is bounded, sharded by digest, and safe for
// concurrent use.
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
	if c.SameCrash <= 0 {
		c.SameCrash = DefaultDedupWindow
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
// Several sightings of one crash, by several requests or callers, count once.
func (r *Register) Crashed(now time.Time, endpoint string, running []string) {
	for _, digest := range running {
		if digest == "" {
			continue
		}
		r.shard(digest).crashed(now, endpoint, digest, r.version.next)
	}
}

// Cleared records that a request of that digest completed whole: it does not
// crash each endpoint that runs it. A block stands until it expires, unless its
// content is being tried again.
func (r *Register) Cleared(now time.Time, digest string) {
	r.shard(digest).cleared(now, digest, r.version.next)
}

// State returns what is held against digest.
func (r *Register) State(now time.Time, digest string) State {
	return r.shard(digest).state(now, digest)
}

// Admit decides whether a request of that digest may run now. Suspects may; of blocked
// content that completed before its block, one request may run now and then.
func (r *Register) Admit(now time.Time, digest string) Decision {
	return r.shard(digest).admit(now, digest)
}

// Entries returns all that has not expired, sorted by digest. Forgiven entries
// are included, so that late evidence does not bring a suspicion back.
func (r *Register) Entries(now time.Time) []Entry {
	entries, _ := r.EntriesSince(now, 0)
	return entries
}

// EntriesSince returns the entries that changed after version, sorted by digest,
// and the version to ask from next time. It lets a heartbeat carry changes only.
func (r *Register) EntriesSince(now time.Time, version uint64) ([]Entry, uint64) {
	upTo := r.version.now()
	var out []Entry
	for i := range r.shards {
		out = r.shards[i].appendSince(out, now, version)
	}
	sortEntries(out)
	return out, upTo
}

// Merge takes in the evidence of another daemon. It is idempotent, and the order
// in which entries arrive does not matter.
func (r *Register) Merge(now time.Time, entries []Entry) {
	for _, e := range entries {
		if e.Digest == "" || len(e.Crashes) == 0 || e.ExpiresIn <= 0 {
			continue
		}
		r.shard(e.Digest).merge(now, e, r.version.next)
	}
}
