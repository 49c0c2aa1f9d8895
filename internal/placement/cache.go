package placement

import (
	"sort"

	"github.com/hashicorp/golang-lru/v2/simplelru"
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

// prefixIndex remembers which endpoints are believed to have which prompt blocks.
// It is bounded: the least recently used block goes first.
type prefixIndex struct {
	blocks *simplelru.LRU[uint64, *holders]
}

func newPrefixIndex(maxBlocks int) *prefixIndex {
	// The size is positive, which is the only thing that NewLRU checks.
	blocks, _ := simplelru.NewLRU[uint64, *holders](maxBlocks, nil)
	return &prefixIndex{blocks: blocks}
}

func (p *prefixIndex) store(block uint64, x holder) {
	if found, ok := p.blocks.Get(block); ok {
		found.add(x)
		return
	}
	created := &holders{}
	created.add(x)
	p.blocks.Add(block, created)
}

func (p *prefixIndex) evict(block uint64, slot int32) {
	if found, ok := p.blocks.Peek(block); ok {
		found.remove(slot)
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
	found, ok := p.blocks.Get(prefix[depth-1])
	if !ok {
		return true
	}
	for _, x := range found.list[:found.len] {
		if !use(x, depth) {
			return false
		}
	}
	return true
}
