package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxCachedParts bounds the prompt parts tracked per endpoint.
	maxCachedParts = 512
	// minAffinityTokens is the size of a prompt's shared parts from which they have an affinity
	// endpoint.
	minAffinityTokens = 400
	// affinityHitShare is the share of the shared tokens that the affinity endpoint is assumed
	// to have cached if this daemon did not send them there: other daemons send theirs to the
	// same endpoint.
	affinityHitShare = 0.95
	// cacheTTL is how long a part is assumed to stay cached after its last use.
	cacheTTL = 30 * time.Second
)

// partCache tracks the prompt parts that this daemon expects in an endpoint's KV cache.
type partCache struct {
	lastUse *simplelru.LRU[uint64, time.Time]
}

func newPartCache() partCache {
	lastUse, _ := simplelru.NewLRU[uint64, time.Time](maxCachedParts, nil) // NewLRU fails only for a size below 1.
	return partCache{lastUse: lastUse}
}

// touch records a use of the parts and returns those that were not tracked before.
func (c partCache) touch(now time.Time, parts []hashedPart) (added []hashedPart) {
	for _, part := range parts {
		if !c.lastUse.Contains(part.hash) {
			added = append(added, part)
		}
		c.lastUse.Add(part.hash, now)
	}
	return added
}

func (c partCache) remove(parts []hashedPart) {
	for _, part := range parts {
		c.lastUse.Remove(part.hash)
	}
}

// removeUnused removes parts that were last used at usedAt, by a request that was not run.
func (c partCache) removeUnused(usedAt time.Time, parts []hashedPart) {
	for _, part := range parts {
		if lastUse, found := c.lastUse.Peek(part.hash); found && lastUse.Equal(usedAt) {
			c.lastUse.Remove(part.hash)
		}
	}
}

// clear drops all parts, as the process behind the endpoint restarts with an empty cache.
func (c partCache) clear() { c.lastUse.Purge() }

// cachedTokens returns how many leading tokens of the prompt are expected in the endpoint's
// cache.
func (c partCache) cachedTokens(now time.Time, parts []hashedPart) int {
	tokens := 0
	for _, part := range parts {
		usedAt, found := c.lastUse.Peek(part.hash)
		if !found || now.Sub(usedAt) > cacheTTL {
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

// affinityPart returns the last shared part, which determines the affinity endpoint, and the
// number of tokens up to its end. Both are zero if these are too few. The last part of the
// prompt is specific to the request and does not count. Parts before the last shared one are
// shared by more requests: if one of them decided, many requests would have the same affinity
// endpoint, while every endpoint soon has such a part in its cache anyway.
func affinityPart(parts []hashedPart) (part uint64, tokens int) {
	for _, p := range parts[:max(0, len(parts)-1)] {
		part = p.hash
		tokens += p.tokens
	}
	if tokens < minAffinityTokens {
		return 0, 0
	}
	return part, tokens
}

// rendezvous returns the rank of an endpoint for a part, from the hashes of their ids
// (rendezvous hashing); the endpoint of the highest rank is the part's affinity endpoint. The
// steps are the finalizer of a 64-bit mixing hash.
func rendezvous(part, endpoint uint64) uint64 {
	h := part ^ (endpoint * 0x9e3779b97f4a7c15)
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}
