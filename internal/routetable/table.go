// Package routetable holds the live configuration of opaque traffic: which host and
// path belong to which service, who may call, and what callers may send. A Table is
// immutable; a new version replaces it whole.
package routetable

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered with a series of events.
	Streaming Kind = "streaming"
)

// Backend is one service of a route and its share of the requests.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string `json:"name"`
	// Host is compared without case and port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash; the longest one that fits wins.
	PathPrefix string    `json:"path_prefix"`
	Kind       Kind      `json:"kind"`
	Backends   []Backend `json:"backends"`
	// Timeout is the longest that a caller is kept waiting for its whole answer.
	Timeout time.Duration `json:"timeout"`
	// Target is the latency target: to the whole answer, or to the first event of a stream.
	Target time.Duration `json:"target"`
	// MaxPause is the longest pause between events with which a stream is still on time.
	MaxPause time.Duration `json:"max_pause"`
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts bounds the endpoints that may run one request.
	MaxAttempts int `json:"max_attempts"`
	// Anonymous routes need no key.
	Anonymous bool `json:"anonymous"`
	// PromptAffinity is set where requests declare the parts of their prompt.
	PromptAffinity bool `json:"prompt_affinity"`
	// Resumable streams may be continued at another endpoint after their last event.
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
	// Priority goes before the priority of the route if set; see Urgency.
	Priority *int `json:"priority,omitempty"`
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	BodyTimeout   time.Duration `json:"body_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Defaults of Limits where a table leaves them out.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 4 << 20
	DefaultHeaderTimeout = 3 * time.Second
	DefaultBodyTimeout   = 10 * time.Second
	DefaultIdleTimeout   = 15 * time.Second
)

// WithDefaults fills the fields that are not positive.
func (l Limits) WithDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.BodyTimeout <= 0 {
		l.BodyTimeout = DefaultBodyTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Spec is the content of a table as configuration states it.
type Spec struct {
	// Version grows with every change; a lower one never replaces a higher one.
	Version    int64       `json:"version"`
	Routes     []Route     `json:"routes"`
	Workspaces []Workspace `json:"workspaces"`
	Limits     Limits      `json:"limits"`
	// KeysRequired is set if callers need a key on routes that are not anonymous.
	KeysRequired bool `json:"keys_required"`
}

// Table is a Spec prepared for look-ups. It is safe for concurrent use.
type Table struct {
	spec    Spec
	byHost  map[string][]*Route
	byKey   map[string]*Workspace
	urgency map[rank]int
	targets longestTargets
}

// New prepares a table; it keeps spec.
func New(spec Spec) *Table {
	spec.Limits = spec.Limits.WithDefaults()
	t := &Table{
		spec:    spec,
		byHost:  make(map[string][]*Route),
		byKey:   make(map[string]*Workspace),
		urgency: rankAll(spec),
	}
	t.targets = findLongestTargets(spec, t.urgency)
	for i := range spec.Routes {
		route := &spec.Routes[i]
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range spec.Workspaces {
		for _, key := range spec.Workspaces[i].Keys {
			t.byKey[key] = &spec.Workspaces[i]
		}
	}
	return t
}

// Version returns the version of the table.
func (t *Table) Version() int64 { return t.spec.Version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.spec.Limits }

// KeysRequired reports whether routes that are not anonymous need a key.
func (t *Table) KeysRequired() bool { return t.spec.KeysRequired }

// Counts returns the number of routes and of workspaces, for logs.
func (t *Table) Counts() (routes, workspaces int) { return len(t.spec.Routes), len(t.spec.Workspaces) }

// Match returns the route of a host and a path without its query, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Workspace returns the holder of a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.byKey[key] }

// PickBackend chooses a service by weight; point is uniform in [0, 1).
func (r *Route) PickBackend(point float64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(0, b.Weight)
	}
	mark := point * float64(total)
	for _, b := range r.Backends {
		mark -= float64(max(0, b.Weight))
		if mark < 0 {
			return b.Service
		}
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[0].Service
}
