// Package discovery decides how gateways find each other through a collection at the platform, for
// when no seed leads to a peer. A few gateways of each group register their addresses there; one
// that has no live peer reads them and introduces itself. The package performs no I/O and reads
// no clock.
package discovery

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// startGrace is how long a gateway waits after its start for its seeds to reply, and startJitter
	// bounds what is added at random: all gateways may start, or begin to look, at once.
	startGrace, startJitter = 400 * time.Millisecond, 500 * time.Millisecond
	// lonelyInterval is the time between two looks of a gateway without a live peer, which doubles after
	// quickLooks of them up to maxLonelyInterval.
	lonelyInterval, maxLonelyInterval = 500 * time.Millisecond, 2 * time.Second
	quickLooks                        = 4
	// settlingInterval is the time between two looks of a gateway that watches the platform for others,
	// in the settlingTime after its start, when groups find each other; steadyInterval is that later.
	settlingInterval, settlingTime = 2 * time.Second, 30 * time.Second
	steadyInterval                 = 10 * time.Second
	// wantedEntries is the number of live gateways to register: as many as watch the platform.
	wantedEntries = 4
	// maxCandidates bounds the addresses to which a gateway introduces itself.
	maxCandidates = 64
	// maxTries bounds the introductions to an address that doesn't reply.
	maxTries = 30
	// replyTime is how long a gateway waits for replies to its introductions before it looks again and
	// registers itself; maxDeferrals bounds how often in a row.
	replyTime, maxDeferrals = 300 * time.Millisecond, 3
	// removeAfter is the time after which the entry of an address that doesn't reply is removed.
	removeAfter = time.Minute
)

// Entry is a registered address.
type Entry struct {
	Address string
	Version int64
}

// Situation is what a gateway knows of itself.
type Situation struct {
	// Live are the addresses of its live peers.
	Live []string
	// Watching is set if it reads the platform on behalf of others.
	Watching bool
	// Leaving is set if it shuts down.
	Leaving bool
}

func (s Situation) lonely() bool { return len(s.Live) == 0 }

// looks reports whether the gateway looks at the collection at all.
func (s Situation) looks() bool { return !s.Leaving && (s.lonely() || s.Watching) }

// Plan is what to do after a look.
type Plan struct {
	// Introduce has the addresses to which the gateway sends its state.
	Introduce []string
	// Register is set if it creates an entry of its own.
	Register bool
	// Remove has entries of addresses that don't reply.
	Remove []Entry
}

// candidate is a registered address that is no live peer.
type candidate struct {
	Entry
	since time.Time
	tries int
}

// Finder decides for one gateway. It is not safe for concurrent use.
type Finder struct {
	self    string
	started time.Time
	// random returns a number below n.
	random func(n time.Duration) time.Duration
	// looking and lonely are the state at the last call; lonelyLooks counts the looks since the last
	// live peer.
	looking, lonely bool
	lonelyLooks     int
	nextLook        time.Time
	failed          bool
	deferrals       int
	candidates      map[string]*candidate
}

// NewFinder returns the state of a gateway that starts now at the address self. random returns a
// number below n.
func NewFinder(now time.Time, self string, random func(n time.Duration) time.Duration) *Finder {
	return &Finder{self: self, started: now, random: random, nextLook: now.Add(startGrace), candidates: map[string]*candidate{}}
}

// Due reports whether the gateway is to read the collection now.
func (f *Finder) Due(now time.Time, s Situation) bool {
	if s.lonely() != f.lonely {
		f.lonely, f.lonelyLooks = s.lonely(), 0
		if f.lonely && f.looking {
			f.nextLook = earliest(f.nextLook, now.Add(f.jittered(lonelyInterval)))
		}
	}
	if s.looks() && !f.looking {
		f.nextLook = latest(f.nextLook, now).Add(f.random(startJitter))
	}
	f.looking = s.looks()
	return f.looking && !now.Before(f.nextLook)
}

// Failed records that the collection could not be read.
func (f *Finder) Failed(now time.Time, s Situation) {
	f.schedule(now, s)
	f.failed = true
}

// Look decides by what the collection has.
func (f *Finder) Look(now time.Time, entries []Entry, s Situation) Plan {
	if f.failed { // Others can read it again as well, and register.
		f.failed, f.lonelyLooks = false, 0
	}
	f.schedule(now, s)
	registered, live := false, 0
	var silent []Entry
	for _, e := range entries {
		switch {
		case e.Address == f.self:
			registered = true
		case slices.Contains(s.Live, e.Address):
			live++
		case isUnicast(e.Address):
			silent = append(silent, e)
		}
	}
	f.keep(now, silent)
	plan := Plan{Introduce: f.introductions(), Register: !registered && live < wantedEntries}
	if plan.Register && f.awaitsReplies() && f.deferrals < maxDeferrals {
		f.deferrals++
		plan.Register = false
		f.nextLook = earliest(f.nextLook, now.Add(f.jittered(replyTime)))
	} else {
		f.deferrals = 0
	}
	for _, address := range plan.Introduce {
		f.candidates[address].tries++
	}
	if !s.lonely() && s.Watching {
		plan.Remove = f.removal(now)
	}
	return plan
}

// schedule sets the time of the next look.
func (f *Finder) schedule(now time.Time, s Situation) {
	interval := steadyInterval
	switch {
	case s.lonely():
		interval = min(lonelyInterval<<max(0, min(f.lonelyLooks-quickLooks, 8)), maxLonelyInterval)
		f.lonelyLooks++
	case now.Sub(f.started) < settlingTime:
		interval = settlingInterval
	}
	f.nextLook = now.Add(f.jittered(interval))
}

// keep keeps the candidates that are still registered, and adds new ones.
func (f *Finder) keep(now time.Time, silent []Entry) {
	previous := f.candidates
	f.candidates = make(map[string]*candidate, min(len(silent), maxCandidates))
	for _, e := range silent {
		if c := previous[e.Address]; c != nil && c.Version == e.Version {
			f.candidates[e.Address] = c
		}
	}
	f.shuffle(silent)
	for _, e := range silent {
		if f.candidates[e.Address] == nil && len(f.candidates) < maxCandidates {
			f.candidates[e.Address] = &candidate{Entry: e, since: now}
		}
	}
}

// introductions returns the candidates that may reply yet.
func (f *Finder) introductions() (addresses []string) {
	for address, c := range f.candidates {
		if c.tries < maxTries {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// awaitsReplies reports whether there are candidates to which this gateway has not introduced itself
// before this look.
func (f *Finder) awaitsReplies() bool {
	for _, c := range f.candidates {
		if c.tries == 0 {
			return true
		}
	}
	return false
}

// removal returns the entry to remove, of those whose addresses have not replied for removeAfter.
func (f *Finder) removal(now time.Time) []Entry {
	var old []Entry
	for _, c := range f.candidates {
		if now.Sub(c.since) >= removeAfter && c.tries > 0 {
			old = append(old, c.Entry)
		}
	}
	slices.SortFunc(old, func(a, b Entry) int { return strings.Compare(a.Address, b.Address) })
	f.shuffle(old)
	return old[:min(1, len(old))]
}

func (f *Finder) shuffle(entries []Entry) {
	for i := len(entries) - 1; i > 0; i-- {
		j := int(f.random(time.Duration(i + 1)))
		entries[i], entries[j] = entries[j], entries[i]
	}
}

// jittered returns an interval that is up to a quarter longer.
func (f *Finder) jittered(interval time.Duration) time.Duration {
	return interval + f.random(interval/4)
}

// isUnicast reports whether a name is an IP address to which a message may be sent.
func isUnicast(name string) bool {
	a, err := netip.ParseAddr(name)
	return err == nil && a.Is4() && a.String() == name && !a.IsUnspecified() && !a.IsMulticast() && a != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
