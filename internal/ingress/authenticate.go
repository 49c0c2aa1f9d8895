package ingress

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// Request headers.
const (
	// ProfileHeader selects the profile of the request.
	ProfileHeader = "Primrosewell-Profile"
	// IdempotencyKeyHeader identifies a request that must run at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// NotRepeatableHeader with the value true makes the server refuse the request unless
	// it has an idempotency key.
	NotRepeatableHeader = "Primrosewell-Not-Repeatable"
)

const bearerPrefix = "Bearer "

// singleHeader returns a copy of the value of a header that may occur at most once.
func singleHeader(c fiber.Ctx, name string) (string, error) {
	values := c.Request().Header.PeekAll(name)
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return string(values[0]), nil
	default:
		return "", failure.New(failure.InvalidRequest, "header "+name+": found it more than once; allowed: once")
	}
}

// authenticate returns the workspace that owns the caller's API key.
func (s *Server) authenticate(c fiber.Ctx) (*catalog.Snapshot, catalog.Workspace, error) {
	snapshot := s.options.Catalog()
	if snapshot == nil {
		return nil, catalog.Workspace{}, failure.New(failure.PlatformUnavailable, "this daemon has no configuration yet").
			WithRetryAfter(startupRetryAfter)
	}
	header, err := singleHeader(c, fiber.HeaderAuthorization)
	if err != nil {
		return nil, catalog.Workspace{}, err
	}
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" {
		return nil, catalog.Workspace{}, failure.New(failure.Unauthenticated, "header Authorization: allowed: Bearer and the workspace's API key")
	}
	sum := sha256.Sum256([]byte(key))
	workspace, found := snapshot.WorkspaceByKeyHash(hex.EncodeToString(sum[:]))
	if !found {
		return nil, catalog.Workspace{}, failure.New(failure.Unauthenticated, "the API key belongs to no workspace")
	}
	return snapshot, workspace, nil
}

// chooseProfile returns the profile selected by the header, or the workspace's default.
func chooseProfile(c fiber.Ctx, snapshot *catalog.Snapshot, workspace catalog.Workspace) (catalog.Profile, error) {
	name, err := singleHeader(c, ProfileHeader)
	if err != nil {
		return catalog.Profile{}, err
	}
	name = lo.CoalesceOrEmpty(name, workspace.DefaultProfile)
	if name == "" {
		return catalog.Profile{}, failure.New(failure.UnknownProfile, "header "+ProfileHeader+": found none, and the workspace has no default profile")
	}
	if len(workspace.Profiles) > 0 && !lo.Contains(workspace.Profiles, name) {
		return catalog.Profile{}, failure.New(failure.Forbidden, "the workspace may not use profile "+name+"; allowed: "+strings.Join(workspace.Profiles, ", "))
	}
	profile, ok := snapshot.Profile(name)
	if !ok {
		return catalog.Profile{}, failure.New(failure.UnknownProfile, "no profile "+name+" is in force; allowed: "+strings.Join(allowedProfiles(snapshot, workspace), ", "))
	}
	return profile, nil
}

// allowedProfiles returns the names of the profiles in force that the workspace may use.
func allowedProfiles(snapshot *catalog.Snapshot, workspace catalog.Workspace) []string {
	return lo.FilterMap(snapshot.Profiles(), func(p catalog.Profile, _ int) (string, bool) {
		return p.Name, len(workspace.Profiles) == 0 || lo.Contains(workspace.Profiles, p.Name)
	})
}

// idempotencyKey returns the idempotency key, or an empty string if there is none and
// the caller does not require one.
func idempotencyKey(c fiber.Ctx) (string, error) {
	key, err := singleHeader(c, IdempotencyKeyHeader)
	if err != nil {
		return "", err
	}
	if len(key) > maxIdempotencyKeyLength {
		return "", failure.New(failure.InvalidRequest, "header "+IdempotencyKeyHeader+": found more than 255 bytes")
	}
	notRepeatable, err := singleHeader(c, NotRepeatableHeader)
	if err != nil {
		return "", err
	}
	switch {
	case notRepeatable != "" && notRepeatable != "true" && notRepeatable != "false":
		return "", failure.New(failure.InvalidRequest, "header "+NotRepeatableHeader+": allowed: true or false")
	case notRepeatable == "true" && key == "":
		return "", failure.New(failure.KeyRequired, "a request that may not be repeated needs the header "+IdempotencyKeyHeader+", so that a resend of it is recognised")
	default:
		return key, nil
	}
}
