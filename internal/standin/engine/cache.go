package engine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/endpoint/prompt"
)

// CacheEvent reports prefix blocks that were stored in or removed from the cache.
type CacheEvent struct {
	Seq    int64    `json:"seq"`
	Type   string   `json:"type"` // "stored" or "removed".
	Blocks []uint64 `json:"blocks"`
}

type timestampedEvent struct {
	CacheEvent
	publishedAt time.Time
}

const maxRetainedEvents = 4096

// prefixCache is an LRU cache of prompt blocks with an event log; Server.mu guards it.
type prefixCache struct {
	blocks    *lru.Cache[uint64, struct{}]
	capacity  int
	dropEvery int
	seq       int64
	events    []timestampedEvent
	readTime  time.Time
}

func newPrefixCache(capacity, dropEvery int) *prefixCache {
	c := &prefixCache{capacity: capacity, dropEvery: dropEvery}
	c.blocks = lo.Must(lru.NewWithEvict(capacity, func(block uint64, _ struct{}) {
		c.publish("removed", []uint64{block})
	}))
	return c
}

// lookupAndStore looks up the leading blocks of a prompt, caches the others and returns
// how many prompt tokens were cached before.
func (c *prefixCache) lookupAndStore(text string, now time.Time) (cachedTokens int) {
	c.readTime = now
	blocks := prompt.PrefixHashes(text)
	hits := 0
	for _, b := range blocks {
		if _, ok := c.blocks.Get(b); !ok {
			break
		}
		hits++
	}
	for _, b := range blocks[hits:] {
		c.blocks.Add(b, struct{}{})
	}
	if len(blocks) > hits {
		c.publish("stored", blocks[hits:])
	}
	return hits * prompt.BlockTokens
}

func (c *prefixCache) publish(kind string, blocks []uint64) {
	c.seq++
	if c.dropEvery > 0 && c.seq%int64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, timestampedEvent{CacheEvent{Seq: c.seq, Type: kind, Blocks: blocks}, c.readTime})
	if len(c.events) > maxRetainedEvents {
		c.events = c.events[len(c.events)-maxRetainedEvents:]
	}
}

// eventsSince returns the events with a sequence number above seq that are at least
// delay old.
func (c *prefixCache) eventsSince(seq int64, now time.Time, delay time.Duration) []CacheEvent {
	found := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.publishedAt) >= delay {
			found = append(found, e.CacheEvent)
		}
	}
	return found
}

func (c *prefixCache) usedRatio() float64 { return float64(c.blocks.Len()) / float64(c.capacity) }

func promptTokens(text string) int { return prompt.EstimateTokens(text) }
