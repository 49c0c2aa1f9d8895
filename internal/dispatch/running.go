package dispatch

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// runningShards must be a power of two, because shard masks the hash.
const runningShards = 16

// runningTable records the digests of the requests that this daemon is running at each
// endpoint. It is safe for concurrent use.
type runningTable struct {
	shards [runningShards]runningShard
}

type runningShard struct {
	mu      sync.Mutex
	digests map[string]map[string]string // endpoint -> attempt ID -> digest.
}

func newRunningTable() *runningTable {
	t := &runningTable{}
	for i := range t.shards {
		t.shards[i].digests = map[string]map[string]string{}
	}
	return t
}

func (t *runningTable) shard(endpoint string) *runningShard {
	return &t.shards[xxhash.Sum64String(endpoint)&(runningShards-1)]
}

func (t *runningTable) add(endpoint, attemptID, digest string) {
	s := t.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digests[endpoint] == nil {
		s.digests[endpoint] = map[string]string{}
	}
	s.digests[endpoint][attemptID] = digest
}

func (t *runningTable) remove(endpoint, attemptID string) {
	s := t.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.digests[endpoint], attemptID)
	if len(s.digests[endpoint]) == 0 {
		delete(s.digests, endpoint)
	}
}

// digestsAt returns the sorted, distinct digests of the requests running at an endpoint.
func (t *runningTable) digestsAt(endpoint string) []string {
	s := t.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := lo.Uniq(lo.Values(s.digests[endpoint]))
	slices.Sort(found)
	return found
}
