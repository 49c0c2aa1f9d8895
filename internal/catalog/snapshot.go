package catalog

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Snapshot is the configuration in force at one revision. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	// Revision is the platform version that the snapshot reflects.
	Revision int64
	// Records are the objects that the snapshot was built from, sorted by kind and name.
	Records []Record

	profiles   map[string]Profile
	workspaces map[string]Workspace
	keys       map[string]string // key hash to workspace.
	services   map[string]Service
	models     map[string]string // model to service.
	endpoints  map[string][]Endpoint
}

// NewSnapshot decodes records. A record that does not decode is left out and its
// key is returned in skipped, so that one bad object takes down nothing else.
func NewSnapshot(revision int64, records []Record) (s *Snapshot, skipped []string) {
	s = &Snapshot{
		Revision:   revision,
		Records:    slices.Clone(records),
		profiles:   map[string]Profile{},
		workspaces: map[string]Workspace{},
		keys:       map[string]string{},
		services:   map[string]Service{},
		models:     map[string]string{},
		endpoints:  map[string][]Endpoint{},
	}
	slices.SortFunc(s.Records, func(a, b Record) int { return strings.Compare(a.Key(), b.Key()) })
	for _, r := range s.Records {
		if !s.add(r) {
			skipped = append(skipped, r.Key())
		}
	}
	return s, skipped
}

// Key is the name of the object that stores the record: kind and name.
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
		s.keys[strings.ToLower(h)] = w.Name
	}
}

func (s *Snapshot) addService(v Service) {
	s.services[v.Name] = v
	for _, m := range v.Models {
		s.models[m] = v.Name
	}
}

func decodeInto[T any](spec json.RawMessage, use func(T)) bool {
	var v T
	if err := json.Unmarshal(spec, &v); err != nil {
		return false
	}
	use(v)
	return true
}

// Profile returns the profile of that name.
func (s *Snapshot) Profile(name string) (Profile, bool) { p, ok := s.profiles[name]; return p, ok }

// Profiles returns every profile, sorted by name.
func (s *Snapshot) Profiles() []Profile {
	return sortedValues(s.profiles)
}

// Workspace returns the workspace of that name.
func (s *Snapshot) Workspace(name string) (Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// WorkspaceByKeyHash returns the workspace that owns an API key, by the hex SHA-256 of the key.
func (s *Snapshot) WorkspaceByKeyHash(hash string) (Workspace, bool) {
	w, ok := s.workspaces[s.keys[strings.ToLower(hash)]]
	return w, ok
}

// Service returns the service of that name.
func (s *Snapshot) Service(name string) (Service, bool) { v, ok := s.services[name]; return v, ok }

// Services returns every service, sorted by name.
func (s *Snapshot) Services() []Service { return sortedValues(s.services) }

// ServiceByModel returns the engine service that offers a model.
func (s *Snapshot) ServiceByModel(model string) (Service, bool) {
	v, ok := s.services[s.models[model]]
	return v, ok
}

// Models returns every model name, sorted.
func (s *Snapshot) Models() []string {
	names := lo.Keys(s.models)
	slices.Sort(names)
	return names
}

// Endpoints returns the endpoints of a service. The slice must not be changed.
func (s *Snapshot) Endpoints(service string) []Endpoint { return s.endpoints[service] }

func sortedValues[T any](m map[string]T) []T {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return lo.Map(keys, func(k string, _ int) T { return m[k] })
}

// WithDefaults returns p with its optional fields filled in.
func (p Profile) WithDefaults() Profile {
	p.Class = lo.CoalesceOrEmpty(p.Class, p.Name)
	if p.FloorPercent == nil {
		p.FloorPercent = lo.ToPtr(DefaultFloorPercent)
	}
	p.MaxWaitMS = lo.CoalesceOrEmpty(p.MaxWaitMS, p.Target.FirstTokenMS, p.Target.CompleteMS)
	return p
}

// WithDefaults returns w with its optional fields filled in.
func (w Workspace) WithDefaults() Workspace {
	w.Weight = lo.CoalesceOrEmpty(w.Weight, DefaultWeight)
	return w
}

// WithDefaults returns e with its optional fields filled in.
func (e Endpoint) WithDefaults() Endpoint {
	e.MaxConcurrent = lo.CoalesceOrEmpty(e.MaxConcurrent, DefaultMaxConcurrent)
	return e
}

// FirstToken is the target for the first token; zero if none is stated.
func (t Target) FirstToken() time.Duration { return millis(t.FirstTokenMS) }

// BetweenTokens is the target for the gap between tokens; zero if none is stated.
func (t Target) BetweenTokens() time.Duration { return millis(t.BetweenTokensMS) }

// Complete is the target for the whole answer; zero if none is stated.
func (t Target) Complete() time.Duration { return millis(t.CompleteMS) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
