package resume

import (
	"sync"
	"time"
)

const (
	// registryShards is the number of parts of a registry, each under its own lock.
	registryShards = 16
	// maxShardEntries bounds the entries of a shard: about 6 MB in all.
	maxShardEntries = 4096
)

// registry holds the origins of streams that may still be resumed. It is safe for concurrent
// use.
type registry struct {
	shards [registryShards]registryShard
}

type registryShard struct {
	mu      sync.Mutex
	entries map[Key]registered
	// noneEndsBefore is a time before which no entry ends, as of the last search for some.
	noneEndsBefore time.Time
}

// registered is an entry of the registry.
type registered struct {
	origin Origin
	until  time.Time
	// own is set for streams that this gateway forwarded, not for those that a peer announced.
	own bool
}

func (r *registry) shard(key Key) *registryShard { return &r.shards[key%registryShards] }

// put stores an entry. It returns false if the shard is full of entries that are still needed.
func (r *registry) put(now time.Time, key Key, e registered) bool {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[Key]registered)
	}
	if old, exists := s.entries[key]; exists {
		e.own = e.own || old.own
	} else if len(s.entries) >= maxShardEntries {
		s.expire(now)
		if len(s.entries) >= maxShardEntries {
			return false
		}
	}
	s.entries[key] = e
	if e.until.Before(s.noneEndsBefore) {
		s.noneEndsBefore = e.until
	}
	return true
}

func (r *registry) get(now time.Time, key Key) (registered, bool) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.entries[key]
	return e, found && now.Before(e.until)
}

// ownOf returns the entries of this gateway's streams of a service.
func (r *registry) ownOf(now time.Time, service string) []Record {
	var records []Record
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for key, e := range s.entries {
			if e.own && e.origin.Service == service && now.Before(e.until) {
				records = append(records, e.record(now, key))
			}
		}
		s.mu.Unlock()
	}
	return records
}

// expire drops the entries that are no longer needed.
func (r *registry) expire(now time.Time) {
	for i := range r.shards {
		r.shards[i].mu.Lock()
		r.shards[i].expire(now)
		r.shards[i].mu.Unlock()
	}
}

// expire is called with s.mu held.
func (s *registryShard) expire(now time.Time) {
	if now.Before(s.noneEndsBefore) {
		return
	}
	s.noneEndsBefore = now.Add(Window)
	for key, e := range s.entries {
		if !now.Before(e.until) {
			delete(s.entries, key)
		} else if e.until.Before(s.noneEndsBefore) {
			s.noneEndsBefore = e.until
		}
	}
}

func (e registered) record(now time.Time, key Key) Record {
	return Record{Key: key, Service: e.origin.Service, Version: e.origin.Version, LeftMS: max(1, e.until.Sub(now).Milliseconds())}
}
