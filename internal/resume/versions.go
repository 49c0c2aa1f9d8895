package resume

import (
	"slices"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// versions holds the software versions of each service that this gateway has seen within
// Window. It is safe for concurrent use.
type versions struct {
	mu sync.Mutex
	// observedSince is when this gateway first had a list of endpoints.
	observedSince time.Time
	byService     map[string]map[string]versionState
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

// complete reports whether recent covers the whole of Window.
func (v *versions) complete(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.observedSince.IsZero() && now.Sub(v.observedSince) >= Window
}
