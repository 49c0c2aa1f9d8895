package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
)

// maxEndpoints bounds the endpoints kept for one digest. A few uncleared crashes block
// a digest, so only one that is cleared again and again reaches the limit.
const maxEndpoints = 16

// versionCounter assigns increasing version numbers to the changes of a register.
type versionCounter struct{ n atomic.Uint64 }

func (v *versionCounter) next() uint64    { return v.n.Add(1) }
func (v *versionCounter) current() uint64 { return v.n.Load() }

// crashCount counts the crashes of one endpoint under a digest. Both counters only grow.
type crashCount struct {
	total   uint32
	cleared uint32
	// lastCrash is when this daemon last counted a crash; it is not sent to other daemons.
	lastCrash time.Time
}

func (c crashCount) uncleared() uint32 {
	if c.cleared >= c.total {
		return 0
	}
	return c.total - c.cleared
}

// evidence holds the recorded crashes of one digest.
type evidence struct {
	byEndpoint map[string]crashCount
	expires    time.Time
	version    uint64
	// blockThreshold is the number of uncleared crashes at which the digest is blocked.
	blockThreshold uint32
}

func (e *evidence) state() State {
	var uncleared uint32
	for _, count := range e.byEndpoint {
		uncleared += min(count.uncleared(), e.blockThreshold)
	}
	switch {
	case uncleared >= e.blockThreshold:
		return Blocked
	case uncleared > 0:
		return Suspect
	default:
		return Clear
	}
}

// recordCrash counts a crash, unless an uncleared one on the same endpoint is less than
// dedupWindow old: that is another report of the same crash.
func (e *evidence) recordCrash(now time.Time, endpoint string, dedupWindow time.Duration) (counted bool) {
	count := e.byEndpoint[endpoint]
	if count.uncleared() > 0 && now.Sub(count.lastCrash) < dedupWindow {
		return false
	}
	count.total++
	count.lastCrash = now
	e.byEndpoint[endpoint] = count
	e.trim()
	return true
}

func (e *evidence) crashedSince(since time.Time) []string {
	var endpoints []string
	for endpoint, count := range e.byEndpoint {
		if count.uncleared() > 0 && !count.lastCrash.Before(since) {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

func (e *evidence) clearCrashes() {
	for endpoint, count := range e.byEndpoint {
		count.cleared = count.total
		e.byEndpoint[endpoint] = count
	}
}

// join raises each counter to the value in crashes and reports whether any grew.
func (e *evidence) join(now time.Time, crashes []Crash) (grew bool) {
	for _, crash := range crashes {
		count := e.byEndpoint[crash.Endpoint]
		total, cleared := max(count.total, crash.Total), max(count.cleared, crash.Cleared)
		if total == count.total && cleared == count.cleared {
			continue
		}
		if total > count.total {
			count.lastCrash = now
		}
		count.total, count.cleared = total, cleared
		e.byEndpoint[crash.Endpoint] = count
		grew = true
	}
	e.trim()
	return grew
}

// trim drops endpoints above maxEndpoints: those without uncleared crashes first, each
// group in order of name.
func (e *evidence) trim() {
	if len(e.byEndpoint) <= maxEndpoints {
		return
	}
	names := slices.SortedFunc(maps.Keys(e.byEndpoint), func(a, b string) int {
		unclearedA, unclearedB := e.byEndpoint[a].uncleared() > 0, e.byEndpoint[b].uncleared() > 0
		if unclearedA != unclearedB {
			return lo.Ternary(unclearedA, 1, -1)
		}
		return strings.Compare(a, b)
	})
	for _, name := range names[:len(names)-maxEndpoints] {
		delete(e.byEndpoint, name)
	}
}

func (e *evidence) entry(now time.Time, digest string) Entry {
	names := slices.Sorted(maps.Keys(e.byEndpoint))
	crashes := lo.Map(names, func(name string, _ int) Crash {
		count := e.byEndpoint[name]
		return Crash{Endpoint: name, Total: count.total, Cleared: count.cleared}
	})
	return Entry{
		Digest:    digest,
		State:     e.state(),
		Crashes:   crashes,
		ExpiresIn: e.expires.Sub(now),
		Version:   e.version,
	}
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Digest, b.Digest) })
}
