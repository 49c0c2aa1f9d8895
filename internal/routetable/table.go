// Package routetable holds the live configuration of opaque traffic: the routes from hosts
// and paths to services, the workspaces with their API keys, and the limits on callers'
// requests. A Table is immutable; a new version replaces it completely.
package routetable

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Kind determines whether requests of a route may be repeated.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests get a stream of events as their response.
	Streaming Kind = "streaming"
)

// Backend is one service of a route, with its weight among the route's backends.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string `json:"name"`
	// Host is compared without regard to case and port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash; the longest matching prefix wins.
	PathPrefix string    `json:"path_prefix"`
	Kind       Kind      `json:"kind"`
	Backends   []Backend `json:"backends"`
	// Timeout bounds the time until the caller has the complete response.
	Timeout time.Duration `json:"timeout"`
	// Target is the latency target, to the complete response or to the first event of a stream.
	Target time.Duration `json:"target"`
	// MaxPause is the longest pause between events for which a stream still meets its target.
	MaxPause time.Duration `json:"max_pause"`
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts bounds the number of endpoints that may run one request.
	MaxAttempts int `json:"max_attempts"`
	// Anonymous routes need no API key.
	Anonymous bool `json:"anonymous"`
	// PromptAffinity is set if requests declare the parts of their prompt.
	PromptAffinity bool `json:"prompt_affinity"`
	// Resumable streams can continue at another endpoint after their last event.
	Resumable bool `json:"resumable"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority takes precedence over the route's priority if set; see Table.Urgency.
	Priority *int `json:"priority,omitempty"`
}

// Limits bound the size of callers' requests and the time to receive them.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	BodyTimeout   time.Duration `json:"body_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Defaults of the fields of Limits that a table omits.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 4 << 20
	DefaultHeaderTimeout = 3 * time.Second
	DefaultBodyTimeout   = 10 * time.Second
	DefaultIdleTimeout   = 15 * time.Second
)

// Bounds of what a table may hold: a larger value counts as the bound.
const (
	// MaxHeaderBytes is the largest buffer that a caller's connection holds for headers.
	MaxHeaderBytes = 1 << 20
	// MaxBodyBytes is the largest body that is read into memory.
	MaxBodyBytes = 64 << 20
	// MaxPriority bounds priorities in both directions, and so the number of ranks.
	MaxPriority = 99
	// MaxDuration is far above any duration that limits a request; sums and small multiples of it
	// don't overflow.
	MaxDuration = 30 * 24 * time.Hour
)

// WithDefaults returns l with defaults in place of the fields that are not positive, and bounds in
// place of larger ones.
func (l Limits) WithDefaults() Limits {
	return Limits{
		HeaderBytes:   withinBounds(l.HeaderBytes, DefaultHeaderBytes, MaxHeaderBytes),
		BodyBytes:     withinBounds(l.BodyBytes, DefaultBodyBytes, MaxBodyBytes),
		HeaderTimeout: withinBounds(l.HeaderTimeout, DefaultHeaderTimeout, MaxDuration),
		BodyTimeout:   withinBounds(l.BodyTimeout, DefaultBodyTimeout, MaxDuration),
		IdleTimeout:   withinBounds(l.IdleTimeout, DefaultIdleTimeout, MaxDuration),
	}
}

// withinBounds returns value, the default if value is not positive, or the largest value allowed.
func withinBounds[T int | time.Duration](value, byDefault, largest T) T {
	if value <= 0 {
		return byDefault
	}
	return min(value, largest)
}

// Spec is the content of a table as stored in the configuration.
type Spec struct {
	// Version increases with every change; a lower version never replaces a higher one.
	Version    int64       `json:"version"`
	Routes     []Route     `json:"routes"`
	Workspaces []Workspace `json:"workspaces"`
	Services   []Service   `json:"services,omitempty"`
	Limits     Limits      `json:"limits"`
	// KeysRequired is set if callers need an API key on routes that are not anonymous.
	KeysRequired bool `json:"keys_required"`
	// LeftOut are the parts of the stored table that can't be used; the rest is in force.
	LeftOut []LeftOut `json:"-"`
}

// LeftOut is a part of a stored table that can't be used.
type LeftOut struct {
	// Item names the part by its kind and name.
	Item   string
	Reason error
}

// Table is a Spec indexed for look-ups. It is safe for concurrent use.
type Table struct {
	spec            Spec
	routesByHost    map[string][]*Route
	workspacesByKey map[string]*Workspace
	urgency         map[rank]int
	longestTargets  longestDurations
	longestTimeouts longestDurations
	tightestPauses  tightestPauses
}

// New returns a table for spec. It retains the spec's slices but for the routes; they must not change
// later.
func New(spec Spec) *Table {
	spec.Limits = spec.Limits.WithDefaults()
	spec.Routes = slices.Clone(spec.Routes)
	for i := range spec.Routes {
		r := &spec.Routes[i]
		for _, d := range []*time.Duration{&r.Timeout, &r.Target, &r.MaxPause} {
			*d = withinBounds(*d, 0, MaxDuration)
		}
	}
	t := &Table{
		spec:            spec,
		routesByHost:    make(map[string][]*Route),
		workspacesByKey: make(map[string]*Workspace),
		urgency:         assignUrgencies(spec),
	}
	t.longestTargets = findLongest(spec, t.urgency, func(r *Route) time.Duration { return r.Target })
	t.longestTimeouts = findLongest(spec, t.urgency, func(r *Route) time.Duration { return r.Timeout })
	t.tightestPauses = findTightestPauses(spec)
	for i := range spec.Routes {
		route := &spec.Routes[i]
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range spec.Workspaces {
		for _, key := range spec.Workspaces[i].Keys {
			t.workspacesByKey[key] = &spec.Workspaces[i]
		}
	}
	return t
}

// Services returns the services that the routes name.
func (t *Table) Services() []string {
	var services []string
	for i := range t.spec.Routes {
		for _, b := range t.spec.Routes[i].Backends {
			services = append(services, b.Service)
		}
	}
	return lo.Uniq(services)
}

// Scalings returns the scaling ranges by service, of those that have one.
func (t *Table) Scalings() map[string]Scaling {
	scalings := make(map[string]Scaling)
	for _, s := range t.spec.Services {
		if s.Scaling != nil {
			scalings[s.Name] = *s.Scaling
		}
	}
	return scalings
}

// Version returns the version of the table.
func (t *Table) Version() int64 { return t.spec.Version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.spec.Limits }

// KeysRequired reports whether routes that are not anonymous need an API key.
func (t *Table) KeysRequired() bool { return t.spec.KeysRequired }

// Counts returns the number of routes and of workspaces, for logs.
func (t *Table) Counts() (routes, workspaces int) { return len(t.spec.Routes), len(t.spec.Workspaces) }

// Match returns the route for a host and a path without its query, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.routesByHost[canonicalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// canonicalHost returns the host in lower case and without a port.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// WorkspaceByKey returns the workspace that an API key belongs to, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.workspacesByKey[key] }

// Key identifies the route in all versions of the table: by what it matches.
func (r *Route) Key() string { return r.Host + r.PathPrefix }

// ResumableServices returns, by the key of each route whose streams may be resumed, its services.
func (t *Table) ResumableServices() map[string][]string {
	services := make(map[string][]string)
	for i := range t.spec.Routes {
		if r := &t.spec.Routes[i]; r.Resumable {
			services[r.Key()] = lo.Map(r.Backends, func(b Backend, _ int) string { return b.Service })
		}
	}
	return services
}

// PickBackend returns a service chosen by weight; random is uniform in [0, 1).
func (r *Route) PickBackend(random float64) string {
	total := 0.0 // The sum of the integers may overflow.
	for _, b := range r.Backends {
		total += float64(max(0, b.Weight))
	}
	remaining := random * total
	for _, b := range r.Backends {
		remaining -= float64(max(0, b.Weight))
		if remaining < 0 {
			return b.Service
		}
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[0].Service
}
