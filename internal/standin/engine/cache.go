package engine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/endpoint/prompt"
)

// CacheEvent says that prefix blocks entered or left the cache.
type CacheEvent struct {
	Seq    int64    `json:"seq"`
	Type   string   `json:"type"` // "stored" or "removed".
	Blocks []uint64 `json:"blocks"`
}

type datedEvent struct {
	CacheEvent
	at time.Time
}

const maxKeptEvents = 4096

// prefixCache remembers prompt blocks; the server's lock guards it.
type prefixCache struct {
	blocks   *lru.Cache[uint64, struct{}]
	capacity int
	gapEvery int
	seq      int64
	events   []datedEvent
	now      time.Time
}

func newPrefixCache(capacity, gapEvery int) *prefixCache {
	c := &prefixCache{capacity: capacity, gapEvery: gapEvery}
	c.blocks = lo.Must(lru.NewWithEvict(capacity, func(block uint64, _ struct{}) {
		c.publish("removed", []uint64{block})
	}))
	return c
}

// read stores the blocks of a prompt and returns how many of its tokens were cached.
func (c *prefixCache) read(text string, now time.Time) (cachedTokens int) {
	c.now = now
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
	if c.gapEvery > 0 && c.seq%int64(c.gapEvery) == 0 {
		return
	}
	c.events = append(c.events, datedEvent{CacheEvent{Seq: c.seq, Type: kind, Blocks: blocks}, c.now})
	if len(c.events) > maxKeptEvents {
		c.events = c.events[len(c.events)-maxKeptEvents:]
	}
}

// since returns the events after seq that are at least delay old.
func (c *prefixCache) since(seq int64, now time.Time, delay time.Duration) []CacheEvent {
	found := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.at) >= delay {
			found = append(found, e.CacheEvent)
		}
	}
	return found
}

func (c *prefixCache) used() float64 { return float64(c.blocks.Len()) / float64(c.capacity) }

func promptTokens(text string) int { return prompt.EstimateTokens(text) }
