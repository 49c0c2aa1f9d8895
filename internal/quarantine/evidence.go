package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
)

// maxEndpoints bounds the endpoints remembered for one digest. A few unforgiven
// crashes block, so more are only seen for a digest that is forgiven again and again.
const maxEndpoints = 16

// versionCounter numbers the changes of a register.
type versionCounter struct{ n atomic.Uint64 }

func (v *versionCounter) next() uint64 { return v.n.Add(1) }
func (v *versionCounter) now() uint64  { return v.n.Load() }

// sighting is the evidence of one endpoint: two counters that only grow.
type sighting struct {
	seen     uint32
	forgiven uint32
	// lastSeen is local: the time of the last counted crash.
	lastSeen time.Time
}

func (s sighting) open() uint32 {
	if s.forgiven >= s.seen {
		return 0
	}
	return s.seen - s.forgiven
}

// evidence is what is known of one digest.
type evidence struct {
	sightings map[string]sighting
	expires   time.Time
	version   uint64
	// blockAt is the number of unforgiven crashes at which the digest is blocked.
	blockAt uint32
	// trial is set while blocked content may be tried again; each daemon has its own.
	trial *trial
}

func (e *evidence) state() State {
	var open uint32
	for _, s := range e.sightings {
		open += min(s.open(), e.blockAt)
	}
	switch {
	case open >= e.blockAt:
		return Blocked
	case open > 0:
		return Suspect
	default:
		return Clear
	}
}

// crashed counts a crash, unless it is another sighting of the last one.
func (e *evidence) crashed(now time.Time, endpoint string, sameCrash time.Duration) (counted bool) {
	s := e.sightings[endpoint]
	if s.open() > 0 && now.Sub(s.lastSeen) < sameCrash {
		return false
	}
	s.seen++
	s.lastSeen = now
	e.sightings[endpoint] = s
	e.trim()
	return true
}

func (e *evidence) forgive() {
	for endpoint, s := range e.sightings {
		s.forgiven = s.seen
		e.sightings[endpoint] = s
	}
}

// join raises the counters to those of other and reports whether any grew.
func (e *evidence) join(now time.Time, crashes []Crash) (grew bool) {
	for _, c := range crashes {
		s := e.sightings[c.Endpoint]
		seen, forgiven := max(s.seen, c.Total), max(s.forgiven, c.Cleared)
		if seen == s.seen && forgiven == s.forgiven {
			continue
		}
		if seen > s.seen {
			s.lastSeen = now
		}
		s.seen, s.forgiven = seen, forgiven
		e.sightings[c.Endpoint] = s
		grew = true
	}
	e.trim()
	return grew
}

// trim keeps the number of endpoints bounded; forgiven ones go first, then by name.
func (e *evidence) trim() {
	if len(e.sightings) <= maxEndpoints {
		return
	}
	names := slices.SortedFunc(maps.Keys(e.sightings), func(a, b string) int {
		openA, openB := e.sightings[a].open() > 0, e.sightings[b].open() > 0
		if openA != openB {
			return lo.Ternary(openA, 1, -1)
		}
		return strings.Compare(a, b)
	})
	for _, name := range names[:len(names)-maxEndpoints] {
		delete(e.sightings, name)
	}
}

func (e *evidence) entry(now time.Time, digest string) Entry {
	names := slices.Sorted(maps.Keys(e.sightings))
	crashes := lo.Map(names, func(name string, _ int) Crash {
		s := e.sightings[name]
		return Crash{Endpoint: name, Total: s.seen, Cleared: s.forgiven}
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
