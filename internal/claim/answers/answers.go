// Package answers keeps the answers of requests that run at most once, so that a
// resend gets the answer that its key has, in place of a refusal. It is memory of one
// daemon, bounded in bytes and age; what must last is in the claim log.
package answers

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/failure"
)

const (
	// DefaultMaxBytes bounds the memory of all answers.
	DefaultMaxBytes = 8 << 20
	// DefaultMaxAge is how long an answer is kept at most.
	DefaultMaxAge = 10 * time.Minute

	// shardCount is the number of parts with a lock of their own.
	shardCount = 16
	// overheadBytes is counted for each answer besides its texts and its body.
	overheadBytes = 512
	// maxEntries bounds the answers of one shard; the bytes bound them before.
	maxEntries = 1 << 20
)

// Answer is a final answer as the caller got it.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Outcome     failure.Outcome
}

// Options configure a Cache.
type Options struct {
	// MaxBytes bounds the memory of all answers. An answer that exceeds a sixteenth of
	// it is not kept. Default: DefaultMaxBytes.
	MaxBytes int
	// MaxAge is how long an answer is kept at most. Default: DefaultMaxAge.
	MaxAge time.Duration
	// Clock is the time source. Default: the real clock.
	Clock clockwork.Clock
}

// Cache holds answers by workspace and key. All methods may be called concurrently.
type Cache struct {
	options Options
	shards  [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	bytes int
	lru   *simplelru.LRU[string, kept]
}

type kept struct {
	claim  claim.Claim
	answer Answer
	at     time.Time
}

// New returns an empty cache.
func New(options Options) (*Cache, error) {
	options.MaxBytes = lo.CoalesceOrEmpty(options.MaxBytes, DefaultMaxBytes)
	options.MaxAge = lo.CoalesceOrEmpty(options.MaxAge, DefaultMaxAge)
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	c := &Cache{options: options}
	for i := range c.shards {
		s := &c.shards[i]
		l, err := simplelru.NewLRU(maxEntries, func(id string, k kept) { s.bytes -= k.size(id) })
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, "answer cache")
		}
		s.lru = l
	}
	return c, nil
}

// Keep stores the answer of a claim and returns whether it is kept. It replaces an
// answer that the key had before. The body is copied.
func (c *Cache) Keep(holder claim.Claim, answer Answer) bool {
	id := keyID(holder.Workspace, holder.Key)
	answer.Body = slices.Clone(answer.Body)
	k := kept{claim: holder, answer: answer, at: c.options.Clock.Now()}
	s := c.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lru.Remove(id)
	limit := c.options.MaxBytes / shardCount
	if k.size(id) > limit {
		return false
	}
	s.lru.Add(id, k)
	s.bytes += k.size(id)
	for s.bytes > limit && s.lru.Len() > 0 {
		s.lru.RemoveOldest()
	}
	return true
}

// Get returns the answer of a key and the claim that ran. The caller compares the
// claim's digest with its own, and must not change the body.
func (c *Cache) Get(workspace, key string) (claim.Claim, Answer, bool) {
	id := keyID(workspace, key)
	s := c.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.lru.Get(id)
	if !ok {
		return claim.Claim{}, Answer{}, false
	}
	if c.options.Clock.Since(k.at) >= c.options.MaxAge {
		s.lru.Remove(id)
		return claim.Claim{}, Answer{}, false
	}
	return k.claim, k.answer, true
}

func (c *Cache) shardOf(id string) *shard { return &c.shards[xxhash.Sum64String(id)%shardCount] }

// size is the memory that an answer is counted with.
func (k kept) size(id string) int {
	return overheadBytes + 2*len(id) + len(k.claim.Digest) + len(k.claim.RequestID) + len(k.answer.ContentType) + len(k.answer.Body)
}

// keyID identifies a key over all workspaces.
func keyID(workspace, key string) string {
	return strconv.Itoa(len(workspace)) + ":" + workspace + key
}
