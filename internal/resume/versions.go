package resume

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// maxLeft bounds the versions of a service that are remembered as having left.
const maxLeft = 64

// versions holds the software versions of each service that this gateway has seen within
// Window. It is safe for concurrent use.
type versions struct {
	mu sync.Mutex
	// observedSince is when this gateway first had a list of endpoints.
	observedSince time.Time
	// restored is set once this gateway has the versions that outlasted it, and listed once it has
	// read the platform's list itself.
	restored, listed bool
	byService        map[string]map[string]versionState
	// left holds the versions of each service that this gateway has seen leave for Window.
	left map[string]map[string]bool
}

// versionState is the state of one version of a service.
type versionState struct {
	listed   bool
	lastSeen time.Time
	// since is the version of the first list that had it, or zero until that is assigned.
	since directory.Version
	// spread is set once spreadQuorum gateways have had such a list or a later one.
	spread bool
}

// observe updates the versions with the list of endpoints, draining ones included, and returns
// the services that from now on have more than one recent version.
func (v *versions) observe(now time.Time, endpoints []routetable.Endpoint) (mixed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byService == nil {
		v.byService = make(map[string]map[string]versionState)
	}
	if v.observedSince.IsZero() && len(endpoints) > 0 {
		v.observedSince = now
	}
	listed := make(map[Origin]bool)
	for _, e := range endpoints {
		listed[Origin{e.Service, e.Version}] = true
	}
	v.expire(now)
	before := make(map[string]int, len(v.byService))
	for service, states := range v.byService {
		for version, state := range states {
			if state.listed {
				state.listed, state.lastSeen = listed[Origin{service, version}], now
				states[version] = state
			}
		}
		before[service] = len(states)
	}
	for o := range listed {
		if v.byService[o.Service] == nil {
			v.byService[o.Service] = make(map[string]versionState)
		}
		if !v.byService[o.Service][o.Version].listed {
			v.byService[o.Service][o.Version] = versionState{listed: true, lastSeen: now}
			delete(v.left[o.Service], o.Version)
		}
	}
	for service, states := range v.byService {
		if len(states) > 1 && before[service] <= 1 {
			mixed = append(mixed, service)
		}
	}
	return mixed
}

// recent returns the sorted versions of a service that were listed within Window.
func (v *versions) recent(now time.Time, service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var recent []string
	for version, state := range v.byService[service] {
		if state.listed || now.Sub(state.lastSeen) < Window {
			recent = append(recent, version)
		}
	}
	slices.Sort(recent)
	return recent
}

// mixed reports whether a service has more than one recent version.
func (v *versions) mixed(now time.Time, service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, state := range v.byService[service] {
		if state.listed || now.Sub(state.lastSeen) < Window {
			n++
		}
	}
	return n > 1
}

// complete reports whether recent covers the whole of Window for a service that this gateway knows,
// and what it may have known before a restart: it has run for so long, or has read what was recent
// before and what is listed from the platform. A list of a peer may be older than the one from before
// the restart.
func (v *versions) complete(now time.Time, service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.byService[service]) > 0 && (v.restored && v.listed || v.observedAll(now))
}

// assign records the version of the list that was observed last. direct is set if this gateway has
// read it from the platform.
func (v *versions) assign(version directory.Version, direct bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = v.listed || direct
	for _, states := range v.byService {
		for name, state := range states {
			if state.listed && state.since.Number == 0 {
				state.since = version
				states[name] = state
			}
		}
	}
}

// unspread returns the sorted listed versions of a service at which no stream should begin yet. It
// leaves out the oldest ones if none has spread. spreadVersion returns the newest list version that has
// spread far enough; it is called only if some version was not spread at the last call.
func (v *versions) unspread(service string, spreadVersion func() directory.Version) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var spread directory.Version
	listed := 0
	unspread := make(map[string]directory.Version)
	for version, state := range v.byService[service] {
		if !state.listed {
			continue
		}
		listed++
		if state.spread {
			continue
		}
		if spread.Number == 0 {
			spread = spreadVersion()
		}
		if state.since.Number > 0 && state.since.Era == spread.Era && state.since.Number <= spread.Number {
			state.spread = true
			v.byService[service][version] = state
			continue
		}
		unspread[version] = state.since
	}
	if listed == len(unspread) {
		unspread = withoutOldest(unspread)
	}
	return slices.Sorted(maps.Keys(unspread))
}

// withoutOldest removes the versions that were listed first. One whose list has no version yet is the
// newest.
func withoutOldest(since map[string]directory.Version) map[string]directory.Version {
	var oldest directory.Version
	for _, v := range since {
		if v.Number > 0 && (oldest.Number == 0 || oldest.After(v)) {
			oldest = v
		}
	}
	return lo.PickBy(since, func(_ string, v directory.Version) bool { return v != oldest })
}

// isSpread reports whether a version has spread, as of the last call of unspread.
func (v *versions) isSpread(service, version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byService[service][version].spread
}

// observedAll reports whether this gateway itself has observed the whole of Window; v.mu is held.
func (v *versions) observedAll(now time.Time) bool {
	return !v.observedSince.IsZero() && now.Sub(v.observedSince) >= Window
}

// restore adds the versions that outlasted this gateway, as if they had been listed until now.
func (v *versions) restore(now time.Time, byService map[string][]string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restored = true
	if v.byService == nil {
		v.byService = make(map[string]map[string]versionState)
	}
	for service, versions := range byService {
		if v.byService[service] == nil {
			v.byService[service] = make(map[string]versionState)
		}
		for _, version := range versions {
			state := v.byService[service][version]
			state.lastSeen = now
			v.byService[service][version] = state
			delete(v.left[service], version)
		}
	}
}

// noteLeft records that a version has left for Window; v.mu is held.
func (v *versions) noteLeft(service, version string) {
	if v.left == nil {
		v.left = make(map[string]map[string]bool)
	}
	if v.left[service] == nil {
		v.left[service] = make(map[string]bool)
	}
	if len(v.left[service]) < maxLeft {
		v.left[service][version] = true
	}
}

// keep returns, by service, the sorted versions that must outlast this gateway: those that are
// recent.
func (v *versions) keep(now time.Time) map[string][]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
	byService := make(map[string][]string, len(v.byService))
	for service, states := range v.byService {
		if len(states) > 0 {
			byService[service] = slices.Sorted(maps.Keys(states))
		}
	}
	return byService
}

// expire forgets the versions that left Window ago; v.mu is held.
func (v *versions) expire(now time.Time) {
	for service, states := range v.byService {
		for version, state := range states {
			if !state.listed && now.Sub(state.lastSeen) >= Window {
				delete(states, version)
				v.noteLeft(service, version)
			}
		}
		if len(states) == 0 {
			delete(v.byService, service)
			delete(v.left, service)
		}
	}
}

// hasLeft reports whether this gateway has seen a version leave for Window.
func (v *versions) hasLeft(service, version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.left[service][version]
}
