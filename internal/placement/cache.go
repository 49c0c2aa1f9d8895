package placement

import (
	"math/bits"
	"sort"
)

// CacheEvents is one message of an engine about its prefix cache. Sequence counts
// the messages of that engine from 1; messages come late and may be lost.
type CacheEvents struct {
	Sequence uint64
	// Stored and Evicted are chained hashes of prompt blocks, as in routing.Ask.
	Stored  []uint64
	Evicted []uint64
	// Cleared means that the engine dropped its whole cache before Stored.
	Cleared bool
}

// maxHolders bounds the endpoints remembered for one block.
const maxHolders = 4

// maxDepth is the greatest number of prompt blocks that is looked at.
const maxDepth = 1 << 14

// depths are the numbers of prompt blocks at which a prefix is remembered and
// looked up: all small ones, then steps of a half, so that a long prompt costs
// some twenty look-ups.
var depths = makeDepths()

func makeDepths() []int {
	out := []int{1, 2}
	for d := 2; d < maxDepth; d *= 2 {
		out = append(out, d+d/2, 2*d)
	}
	return out
}

// holder is an endpoint that is believed to have a block. The belief ends when
// the endpoint's epoch moves on.
type holder struct {
	slot  int32
	epoch uint32
}

// holders are the endpoints of one block, newest first.
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

// ways is the number of blocks that share one set of the table.
const ways = 4

// block is what is believed of one prompt block. It holds no pointers, so that
// the table costs the garbage collector nothing.
type block struct {
	hash    uint64
	used    uint64 // the table's clock at the last use; zero marks a free place.
	holders holders
}

// prefixIndex remembers which endpoints are believed to have which prompt blocks.
// It is a set-associative table of fixed size: within a set, the least recently
// used block goes first. The table is allocated when the first block is stored.
type prefixIndex struct {
	size  int // number of sets, a power of two.
	sets  [][ways]block
	clock uint64
}

func newPrefixIndex(maxBlocks int) *prefixIndex {
	sets := max(1, maxBlocks/ways)
	return &prefixIndex{size: 1 << (bits.Len(uint(sets)) - 1)}
}

// set returns the places for a hash. The hashes are chained and thus well mixed
// already, but engines may count them up; the multiplication spreads those too.
func (p *prefixIndex) set(hash uint64) *[ways]block {
	const goldenRatio = 0x9E3779B97F4A7C15
	mixed := hash * goldenRatio
	return &p.sets[(mixed>>32)&uint64(p.size-1)]
}

// find returns the block of that hash, or nil.
func (p *prefixIndex) find(hash uint64) *block {
	if p.sets == nil {
		return nil
	}
	set := p.set(hash)
	for i := range set {
		if set[i].hash == hash && set[i].used > 0 {
			p.clock++
			set[i].used = p.clock
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
		p.sets = make([][ways]block, p.size)
	}
	set := p.set(hash)
	oldest := &set[0]
	for i := range set {
		if set[i].used < oldest.used {
			oldest = &set[i]
		}
	}
	p.clock++
	*oldest = block{hash: hash, used: p.clock}
	oldest.holders.add(x)
}

func (p *prefixIndex) evict(hash uint64, slot int32) {
	if found := p.find(hash); found != nil {
		found.holders.remove(slot)
	}
}

// steps returns how many of depths fit into a prefix of n blocks.
func steps(n int) int { return sort.SearchInts(depths, n+1) }

// learn remembers that x will have the prefix.
func (p *prefixIndex) learn(prefix []uint64, x holder) {
	n := steps(len(prefix))
	for _, depth := range depths[:n] {
		p.store(prefix[depth-1], x)
	}
	if len(prefix) > 0 && (n == 0 || depths[n-1] != len(prefix)) {
		p.store(prefix[len(prefix)-1], x)
	}
}

// forget drops the belief that slot has the prefix.
func (p *prefixIndex) forget(prefix []uint64, slot int32) {
	for _, depth := range depths[:steps(len(prefix))] {
		p.evict(prefix[depth-1], slot)
	}
	if len(prefix) > 0 {
		p.evict(prefix[len(prefix)-1], slot)
	}
}

// visit calls use for each believed holder, longest match first, until use
// returns false. A holder may come more than once.
func (p *prefixIndex) visit(prefix []uint64, use func(x holder, depth int) bool) {
	n := steps(len(prefix))
	if len(prefix) > 0 && (n == 0 || depths[n-1] != len(prefix)) && !p.visitBlock(prefix, len(prefix), use) {
		return
	}
	for i := n - 1; i >= 0; i-- {
		if !p.visitBlock(prefix, depths[i], use) {
			return
		}
	}
}

func (p *prefixIndex) visitBlock(prefix []uint64, depth int, use func(x holder, depth int) bool) bool {
	found := p.find(prefix[depth-1])
	if found == nil {
		return true
	}
	for _, x := range found.holders.list[:found.holders.len] {
		if !use(x, depth) {
			return false
		}
	}
	return true
}
