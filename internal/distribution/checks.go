package distribution

import (
	"encoding/json"
	"strings"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// checkReferences rejects an object that refers to an object that does not exist, or
// that claims a model or key of another object. It checks against the snapshot in force.
func checkReferences(s *catalog.Snapshot, kind catalog.Kind, spec json.RawMessage) error {
	var problems catalog.Problems
	switch kind {
	case catalog.KindEndpoint:
		var e catalog.Endpoint
		if json.Unmarshal(spec, &e) == nil {
			_, ok := s.Service(e.Service)
			problems.Check(ok, "service", quote(e.Service), "a service that is in force")
		}
	case catalog.KindService:
		var v catalog.Service
		if json.Unmarshal(spec, &v) == nil {
			checkModels(&problems, s, v)
		}
	case catalog.KindWorkspace:
		var w catalog.Workspace
		if json.Unmarshal(spec, &w) == nil {
			checkWorkspace(&problems, s, w)
		}
	case catalog.KindProfile:
	}
	return problems.Err("object refused")
}

func checkModels(p *catalog.Problems, s *catalog.Snapshot, service catalog.Service) {
	for _, model := range service.Models {
		owner, taken := s.ServiceByModel(model)
		p.Check(!taken || owner.Name == service.Name, "models", quote(model)+", offered by service "+owner.Name, "a model that no other service offers")
	}
}

func checkWorkspace(p *catalog.Problems, s *catalog.Snapshot, w catalog.Workspace) {
	names := lo.Uniq(lo.Compact(append([]string{w.DefaultProfile}, w.Profiles...)))
	for _, name := range names {
		_, ok := s.Profile(name)
		p.Check(ok, "profiles", quote(name), "a profile that is in force")
	}
	for _, hash := range w.KeyHashes {
		owner, taken := s.WorkspaceByKeyHash(hash)
		p.Check(!taken || owner.Name == w.Name, "key_hashes", "a key of workspace "+owner.Name, "a key that no other workspace has")
	}
}

func quote(s string) string { return `"` + s + `"` }

// checkUnused rejects the deletion of an object that other objects refer to.
func checkUnused(s *catalog.Snapshot, kind catalog.Kind, name string) error {
	var referrers []string
	switch kind {
	case catalog.KindProfile:
		referrers = workspacesUsingProfile(s, name)
	case catalog.KindService:
		referrers = lo.Map(s.Endpoints(name), func(e catalog.Endpoint, _ int) string { return "endpoint " + e.Name })
	case catalog.KindWorkspace, catalog.KindEndpoint:
	}
	if len(referrers) == 0 {
		return nil
	}
	return failure.New(failure.Conflict, string(kind)+" "+name+" is in use by "+strings.Join(referrers, ", ")+"; change those first")
}

func workspacesUsingProfile(s *catalog.Snapshot, profile string) []string {
	var users []string
	for _, r := range s.Records {
		var w catalog.Workspace
		if r.Kind != catalog.KindWorkspace || json.Unmarshal(r.Spec, &w) != nil {
			continue
		}
		if w.DefaultProfile == profile || lo.Contains(w.Profiles, profile) {
			users = append(users, "workspace "+w.Name)
		}
	}
	return users
}
