package resume

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// copies is the number of peers to which the origin of a stream is announced, so that it
	// survives the loss of several gateways at once.
	copies = 3
	// maxAsked is the number of peers that are asked for an origin. It exceeds copies since
	// gateways may differ in which peers they take for live.
	maxAsked = 6
)

// owners returns the n addresses that come first for a key, by rendezvous hashing.
func owners(key Key, addresses []string, n int) []string {
	type ranked struct {
		address string
		weight  uint64
	}
	list := make([]ranked, 0, len(addresses))
	for _, address := range addresses {
		seed := binary.LittleEndian.AppendUint64(make([]byte, 0, 32), uint64(key))
		list = append(list, ranked{address, xxhash.Sum64(append(seed, address...))})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.address, b.address))
	})
	first := make([]string, 0, n)
	for _, r := range list[:min(n, len(list))] {
		first = append(first, r.address)
	}
	return first
}
