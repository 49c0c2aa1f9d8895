package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// cachedParts bounds the prompt parts remembered for an endpoint.
	cachedParts = 512
	// homeTokens is the size from which a shared part has a home endpoint.
	homeTokens = 1000
	// homeShare is the part of a prompt that its home is taken to hold when this daemon
	// has not sent it there: the other daemons send theirs to the same home.
	homeShare = 0.8
	// cacheMemory is how long a part is taken to stay cached after its last use.
	cacheMemory = 30 * time.Second
)

// partCache is this daemon's guess of the prompt parts that an endpoint holds.
type partCache struct {
	used *simplelru.LRU[string, time.Time]
}

func newPartCache() partCache {
	used, _ := simplelru.NewLRU[string, time.Time](cachedParts, nil) // The size is positive.
	return partCache{used: used}
}

func (c partCache) note(now time.Time, parts []Part) {
	for _, part := range parts {
		c.used.Add(part.ID, now)
	}
}

func (c partCache) forget(parts []Part) {
	for _, part := range parts {
		c.used.Remove(part.ID)
	}
}

// clear forgets everything: the endpoint starts anew.
func (c partCache) clear() { c.used.Purge() }

// held returns how many leading tokens of the prompt the endpoint is taken to hold.
func (c partCache) held(now time.Time, parts []Part) int {
	tokens := 0
	for _, part := range parts {
		last, known := c.used.Peek(part.ID)
		if !known || now.Sub(last) > cacheMemory {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// homePart returns the largest shared part, which decides the home of a prompt, and the
// tokens up to its end. The last part is the request's own.
func homePart(parts []Part) (id string, tokens int) {
	largest, sum := 0, 0
	for _, part := range parts[:max(0, len(parts)-1)] {
		sum += part.Tokens
		if part.Tokens >= homeTokens && part.Tokens > largest {
			largest, id, tokens = part.Tokens, part.ID, sum
		}
	}
	return id, tokens
}

// rendezvous ranks an endpoint for a part; the highest rank is the part's home.
func rendezvous(part, endpoint string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(part) // A digest never fails to take bytes.
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(endpoint)
	return digest.Sum64()
}
