package resume

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// versions holds the software versions of each service that this gateway has seen within
// Window. It is safe for concurrent use.
type versions struct {
	mu sync.Mutex
	// observedSince is when this gateway first had a list of endpoints.
	observedSince time.Time
	// restored is set once this gateway has the versions that outlasted it.
	restored  bool
	byService map[string]map[string]versionState
}

// versionState is the state of one version of a service.
type versionState struct {
	listed   bool
	lastSeen time.Time
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
	before := make(map[string]int, len(v.byService))
	for service, states := range v.byService {
		for version, state := range states {
			if state.listed {
				states[version] = versionState{lastSeen: now}
			} else if now.Sub(state.lastSeen) >= Window {
				delete(states, version)
			}
		}
		before[service] = len(states)
	}
	for _, e := range endpoints {
		if v.byService[e.Service] == nil {
			v.byService[e.Service] = make(map[string]versionState)
		}
		v.byService[e.Service][e.Version] = versionState{listed: true, lastSeen: now}
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

// complete reports whether recent covers the whole of Window: this gateway has run for so long, or
// knows what was recent before.
func (v *versions) complete(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.restored || v.observedAll(now)
}

// observedAll reports whether this gateway itself has observed the whole of Window; v.mu is held.
func (v *versions) observedAll(now time.Time) bool {
	return !v.observedSince.IsZero() && now.Sub(v.observedSince) >= Window
}

// restore adds the versions that outlasted this gateway, as if they had been listed until now.
func (v *versions) restore(now time.Time, byService map[string][]string) {
	v.mu.Lock()
	defer v.mu.Unlock()
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
		}
	}
	v.restored = true
}

// keep returns, by service, the sorted versions that must outlast this gateway: those that are
// recent. observed is set if it has observed all of Window itself, so that no others are recent.
func (v *versions) keep(now time.Time) (byService map[string][]string, observed bool) {
	v.mu.Lock()
	services := lo.Keys(v.byService)
	observed = v.observedAll(now)
	v.mu.Unlock()
	byService = make(map[string][]string, len(services))
	for _, service := range services {
		if recent := v.recent(now, service); len(recent) > 0 {
			byService[service] = recent
		}
	}
	return byService, observed
}
