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
	used *simplelru.LRU[uint64, time.Time]
}

func newPartCache() partCache {
	used, _ := simplelru.NewLRU[uint64, time.Time](cachedParts, nil) // The size is positive.
	return partCache{used: used}
}

func (c partCache) note(now time.Time, parts []hashedPart) {
	for _, part := range parts {
		c.used.Add(part.hash, now)
	}
}

func (c partCache) forget(parts []hashedPart) {
	for _, part := range parts {
		c.used.Remove(part.hash)
	}
}

// clear forgets everything: the endpoint starts anew.
func (c partCache) clear() { c.used.Purge() }

// held returns how many leading tokens of the prompt the endpoint is taken to hold.
func (c partCache) held(now time.Time, parts []hashedPart) int {
	tokens := 0
	for _, part := range parts {
		last, known := c.used.Peek(part.hash)
		if !known || now.Sub(last) > cacheMemory {
			break
		}
		tokens += part.tokens
	}
	return tokens
}

// hashedPart is a part of a prompt with the hash of its id.
type hashedPart struct {
	hash   uint64
	tokens int
}

func hashParts(parts []PromptPart) []hashedPart {
	hashed := make([]hashedPart, len(parts))
	for i, part := range parts {
		hashed[i] = hashedPart{hash: xxhash.Sum64String(part.ID), tokens: part.Tokens}
	}
	return hashed
}

// homePart returns the largest shared part, which decides the home of a prompt, and the
// tokens up to its end; they are zero if there is none. The last part is the request's own.
func homePart(parts []hashedPart) (part uint64, tokens int) {
	largest, sum := 0, 0
	for _, p := range parts[:max(0, len(parts)-1)] {
		sum += p.tokens
		if p.tokens >= homeTokens && p.tokens > largest {
			largest, part, tokens = p.tokens, p.hash, sum
		}
	}
	return part, tokens
}

// rendezvous ranks an endpoint for a part by the hashes of their ids; the highest rank
// is the part's home. The steps are the finalizer of a 64-bit mixing hash.
func rendezvous(part, endpoint uint64) uint64 {
	h := part ^ (endpoint * 0x9e3779b97f4a7c15)
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}
