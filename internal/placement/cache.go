package placement

import (
	"math/bits"
	"sort"
)

// CacheEvents is one update from an engine about its prefix cache. Sequence counts
// the messages of that engine from 1; messages can be late, duplicated or lost.
type CacheEvents struct {
	Sequence uint64
	// Stored and Evicted are chained hashes of prompt blocks, as in routing.PermitRequest.Prefix.
	Stored  []uint64
	Evicted []uint64
	// Cleared means that the engine emptied its whole cache before it added the Stored blocks.
	Cleared bool
}

// maxHolders is the maximum number of endpoints recorded for one block.
const maxHolders = 4

// maxDepth is the largest indexed depth, in prompt blocks.
const maxDepth = 1 << 14

// indexedDepths lists, in ascending order, the prefix lengths in blocks that are stored
// and looked up besides the full length: 1 and 2, then each power of two and the midpoint
// below it. A long prompt thus costs about twenty look-ups.
var indexedDepths = makeIndexedDepths()

func makeIndexedDepths() []int {
	out := []int{1, 2}
	for d := 2; d < maxDepth; d *= 2 {
		out = append(out, d+d/2, 2*d)
	}
	return out
}

// holder is an endpoint that presumably caches a block. The record is stale once
// the endpoint's cacheEpoch differs from epoch.
type holder struct {
	slot  int32
	epoch uint32
}

// holders lists the endpoints that presumably cache one block, newest first.
type holders struct {
	list [maxHolders]holder
	len  int
}

func (h *holders) add(x holder) {
	h.remove(x.slot)
	h.len = min(h.len+1, maxHolders)
	copy(h.list[1:h.len], h.list[:h.len-1])
	h.list[0] = x
}

func (h *holders) remove(slot int32) {
	for i := range h.len {
		if h.list[i].slot == slot {
			copy(h.list[i:h.len-1], h.list[i+1:h.len])
			h.len--
			return
		}
	}
}

// ways is the associativity of the table: the number of entries in each set.
const ways = 4

// blockEntry records which endpoints presumably cache one prompt block. It holds
// no pointers, so the garbage collector does not scan the table.
type blockEntry struct {
	hash     uint64
	lastUsed uint64 // the index's logical clock at the last access; zero marks a free entry.
	holders  holders
}

// prefixIndex maps prompt block hashes to the endpoints that presumably cache them.
// It is a set-associative table of fixed size with LRU replacement within each set.
// The table is allocated when the first block is stored.
type prefixIndex struct {
	size  int // number of sets, a power of two.
	sets  [][ways]blockEntry
	clock uint64
}

func newPrefixIndex(maxBlocks int) *prefixIndex {
	sets := max(1, maxBlocks/ways)
	return &prefixIndex{size: 1 << (bits.Len(uint(sets)) - 1)}
}

// set returns the set for a hash. Chained hashes are well distributed, but an engine
// may use consecutive numbers; multiplicative hashing distributes those as well.
func (p *prefixIndex) set(hash uint64) *[ways]blockEntry {
	const goldenRatio = 0x9E3779B97F4A7C15
	mixed := hash * goldenRatio
	return &p.sets[(mixed>>32)&uint64(p.size-1)]
}

// find returns the entry for hash and marks it as used, or returns nil.
func (p *prefixIndex) find(hash uint64) *blockEntry {
	if p.sets == nil {
		return nil
	}
	set := p.set(hash)
	for i := range set {
		if set[i].hash == hash && set[i].lastUsed > 0 {
			p.clock++
			set[i].lastUsed = p.clock
			return &set[i]
		}
	}
	return nil
}

func (p *prefixIndex) store(hash uint64, x holder) {
	if found := p.find(hash); found != nil {
		found.holders.add(x)
		return
	}
	if p.sets == nil {
		p.sets = make([][ways]blockEntry, p.size)
	}
	set := p.set(hash)
	oldest := &set[0]
	for i := range set {
		if set[i].lastUsed < oldest.lastUsed {
			oldest = &set[i]
		}
	}
	p.clock++
	*oldest = blockEntry{hash: hash, lastUsed: p.clock}
	oldest.holders.add(x)
}

func (p *prefixIndex) evict(hash uint64, slot int32) {
	if found := p.find(hash); found != nil {
		found.holders.remove(slot)
	}
}

// countDepths returns the number of indexedDepths that are at most n blocks.
func countDepths(n int) int { return sort.SearchInts(indexedDepths, n+1) }

// storePrefix records x as a holder of prefix, at each indexed depth and at full length.
func (p *prefixIndex) storePrefix(prefix []uint64, x holder) {
	n := countDepths(len(prefix))
	for _, depth := range indexedDepths[:n] {
		p.store(prefix[depth-1], x)
	}
	if len(prefix) > 0 && (n == 0 || indexedDepths[n-1] != len(prefix)) {
		p.store(prefix[len(prefix)-1], x)
	}
}

// evictPrefix removes slot as a holder of prefix, at each indexed depth and at full length.
func (p *prefixIndex) evictPrefix(prefix []uint64, slot int32) {
	for _, depth := range indexedDepths[:countDepths(len(prefix))] {
		p.evict(prefix[depth-1], slot)
	}
	if len(prefix) > 0 {
		p.evict(prefix[len(prefix)-1], slot)
	}
}

// visit calls fn for each recorded holder, longest match first, until fn returns
// false. fn may be called more than once for the same endpoint.
func (p *prefixIndex) visit(prefix []uint64, fn func(x holder, depth int) bool) {
	n := countDepths(len(prefix))
	if len(prefix) > 0 && (n == 0 || indexedDepths[n-1] != len(prefix)) && !p.visitBlock(prefix, len(prefix), fn) {
		return
	}
	for i := n - 1; i >= 0; i-- {
		if !p.visitBlock(prefix, indexedDepths[i], fn) {
			return
		}
	}
}

func (p *prefixIndex) visitBlock(prefix []uint64, depth int, fn func(x holder, depth int) bool) bool {
	found := p.find(prefix[depth-1])
	if found == nil {
		return true
	}
	for _, x := range found.holders.list[:found.holders.len] {
		if !fn(x, depth) {
			return false
		}
	}
	return true
}
