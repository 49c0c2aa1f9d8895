package catalog

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Snapshot is the immutable configuration at one revision. It is safe for concurrent use.
type Snapshot struct {
	// Revision is the platform version up to which changes are included.
	Revision int64
	// Records are the objects that the snapshot was built from, sorted by kind and name.
	Records []Record

	profiles           map[string]Profile
	workspaces         map[string]Workspace
	workspaceByKeyHash map[string]string // workspace name by lower-case key hash.
	services           map[string]Service
	serviceByModel     map[string]string // service name by model.
	endpoints          map[string][]Endpoint
}

// NewSnapshot builds a snapshot from records. A record that cannot be decoded is left out
// and its key is returned in skipped, so that one bad object affects no other.
func NewSnapshot(revision int64, records []Record) (s *Snapshot, skipped []string) {
	s = &Snapshot{
		Revision:           revision,
		Records:            slices.Clone(records),
		profiles:           map[string]Profile{},
		workspaces:         map[string]Workspace{},
		workspaceByKeyHash: map[string]string{},
		services:           map[string]Service{},
		serviceByModel:     map[string]string{},
		endpoints:          map[string][]Endpoint{},
	}
	slices.SortFunc(s.Records, func(a, b Record) int { return strings.Compare(a.Key(), b.Key()) })
	for _, r := range s.Records {
		if !s.add(r) {
			skipped = append(skipped, r.Key())
		}
	}
	return s, skipped
}

// Key returns the name of the platform object that stores the record: kind, dot, name.
func (r Record) Key() string { return string(r.Kind) + "." + r.Name }

func (s *Snapshot) add(r Record) bool {
	switch r.Kind {
	case KindProfile:
		return decodeInto(r.Spec, func(p Profile) { s.profiles[p.Name] = p.WithDefaults() })
	case KindWorkspace:
		return decodeInto(r.Spec, s.addWorkspace)
	case KindService:
		return decodeInto(r.Spec, s.addService)
	case KindEndpoint:
		return decodeInto(r.Spec, func(e Endpoint) { s.endpoints[e.Service] = append(s.endpoints[e.Service], e.WithDefaults()) })
	default:
		return false
	}
}

func (s *Snapshot) addWorkspace(w Workspace) {
	s.workspaces[w.Name] = w.WithDefaults()
	for _, h := range w.KeyHashes {
		s.workspaceByKeyHash[strings.ToLower(h)] = w.Name
	}
}

func (s *Snapshot) addService(service Service) {
	s.services[service.Name] = service
	for _, m := range service.Models {
		s.serviceByModel[m] = service.Name
	}
}

func decodeInto[T any](spec json.RawMessage, store func(T)) bool {
	var v T
	if err := json.Unmarshal(spec, &v); err != nil {
		return false
	}
	store(v)
	return true
}

// Profile returns the profile with the given name.
func (s *Snapshot) Profile(name string) (Profile, bool) { p, ok := s.profiles[name]; return p, ok }

// Profiles returns all profiles, sorted by name.
func (s *Snapshot) Profiles() []Profile {
	return sortedValues(s.profiles)
}

// Workspace returns the workspace with the given name.
func (s *Snapshot) Workspace(name string) (Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// WorkspaceByKeyHash returns the workspace that owns the API key with the given SHA-256 sum
// in hex, in either case.
func (s *Snapshot) WorkspaceByKeyHash(hash string) (Workspace, bool) {
	w, ok := s.workspaces[s.workspaceByKeyHash[strings.ToLower(hash)]]
	return w, ok
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (Service, bool) { v, ok := s.services[name]; return v, ok }

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []Service { return sortedValues(s.services) }

// ServiceByModel returns the engine service that serves a model.
func (s *Snapshot) ServiceByModel(model string) (Service, bool) {
	v, ok := s.services[s.serviceByModel[model]]
	return v, ok
}

// Models returns all model names, sorted.
func (s *Snapshot) Models() []string {
	names := lo.Keys(s.serviceByModel)
	slices.Sort(names)
	return names
}

// Endpoints returns the endpoints of a service. The caller must not modify the slice.
func (s *Snapshot) Endpoints(service string) []Endpoint { return s.endpoints[service] }

func sortedValues[T any](m map[string]T) []T {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return lo.Map(keys, func(k string, _ int) T { return m[k] })
}

// WithDefaults returns p with defaults for unset optional fields.
func (p Profile) WithDefaults() Profile {
	p.Class = lo.CoalesceOrEmpty(p.Class, p.Name)
	if p.FloorPercent == nil {
		p.FloorPercent = lo.ToPtr(DefaultFloorPercent)
	}
	p.MaxWaitMS = lo.CoalesceOrEmpty(p.MaxWaitMS, p.Target.FirstTokenMS, p.Target.CompleteMS)
	return p
}

// WithDefaults returns w with defaults for unset optional fields.
func (w Workspace) WithDefaults() Workspace {
	w.Weight = lo.CoalesceOrEmpty(w.Weight, DefaultWeight)
	return w
}

// WithDefaults returns e with defaults for unset optional fields.
func (e Endpoint) WithDefaults() Endpoint {
	e.MaxConcurrent = lo.CoalesceOrEmpty(e.MaxConcurrent, DefaultMaxConcurrent)
	return e
}

// FirstToken is the target for the time to first token; zero if not set.
func (t Target) FirstToken() time.Duration { return millis(t.FirstTokenMS) }

// BetweenTokens is the target for the inter-token latency; zero if not set.
func (t Target) BetweenTokens() time.Duration { return millis(t.BetweenTokensMS) }

// Complete is the target for the time to the complete response; zero if not set.
func (t Target) Complete() time.Duration { return millis(t.CompleteMS) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
