package dispatch

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// runningShards is a power of two.
const runningShards = 16

// runningTable knows which digests run at which endpoint, as far as this daemon sent
// them there. It may be used concurrently.
type runningTable struct {
	shards [runningShards]runningShard
}

type runningShard struct {
	mu      sync.Mutex
	digests map[string]map[string]string // endpoint to ask ID to digest.
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

func (t *runningTable) add(endpoint, askID, digest string) {
	s := t.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digests[endpoint] == nil {
		s.digests[endpoint] = map[string]string{}
	}
	s.digests[endpoint][askID] = digest
}

func (t *runningTable) remove(endpoint, askID string) {
	s := t.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.digests[endpoint], askID)
	if len(s.digests[endpoint]) == 0 {
		delete(s.digests, endpoint)
	}
}

// on returns the digests that run at an endpoint, each once, sorted.
func (t *runningTable) on(endpoint string) []string {
	s := t.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := lo.Uniq(lo.Values(s.digests[endpoint]))
	slices.Sort(found)
	return found
}
