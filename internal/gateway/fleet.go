package gateway

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/gossip"
)

// fleet is the gateways that share the limits of endpoints; it implements balance.Fleet. Lost peers
// count until they are forgotten: they may be out of reach of this gateway only.
type fleet struct {
	self    string
	members *gossip.Members
}

// Size implements balance.Fleet.
func (f fleet) Size() int { return len(f.members.RecentAddresses(time.Now())) + 1 }

// Rank implements balance.Fleet by rendezvous hashing.
func (f fleet) Rank(endpoint balance.EndpointKey, slot int64) int {
	own, rank := limitRank(f.self, endpoint, slot), 0
	for _, address := range f.members.RecentAddresses(time.Now()) {
		if limitRank(address, endpoint, slot) > own {
			rank++
		}
	}
	return rank
}

func limitRank(address string, endpoint balance.EndpointKey, slot int64) uint64 {
	key := binary.LittleEndian.AppendUint32([]byte(address), uint32(endpoint))
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(key, uint64(slot)))
}
