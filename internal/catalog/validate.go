package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"strings"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// Limits on configuration objects.
const (
	maxNameLength     = 63
	maxFloorPercent   = 20.0
	maxWeight         = 100
	maxTargetMS       = 3_600_000
	maxConcurrent     = 4096
	maxOutputTokens   = 1_000_000
	maxKeyHashes      = 16
	keyHashHexLength  = 64
	namePatternAllows = "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)
	hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// Problem is one invalid field of an object or a settings file.
type Problem struct {
	// Path is the path of the field, such as "target.first_token_ms".
	Path string `json:"path"`
	// Found describes the field's value.
	Found string `json:"found"`
	// Allowed describes the accepted values.
	Allowed string `json:"allowed"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s; allowed: %s", p.Path, p.Found, p.Allowed)
}

// Problems collects all problems of an input, so that they are reported together.
type Problems []Problem

// Add appends a problem.
func (p *Problems) Add(path string, found any, allowed string) {
	*p = append(*p, Problem{Path: path, Found: fmt.Sprintf("%v", found), Allowed: allowed})
}

// Check appends a problem unless ok.
func (p *Problems) Check(ok bool, path string, found any, allowed string) {
	if !ok {
		p.Add(path, found, allowed)
	}
}

// Err returns nil if there are no problems, or an InvalidObject failure that lists them
// after summary.
func (p Problems) Err(summary string) error {
	if len(p) == 0 {
		return nil
	}
	lines := lo.Map(p, func(x Problem, _ int) string { return x.String() })
	return failure.New(failure.InvalidObject, summary+": "+strings.Join(lines, "; "))
}

// Decode decodes and validates the spec of an object, and rejects unknown fields. It returns
// the object's name and the canonical JSON of the spec.
func Decode(kind Kind, spec []byte) (name string, canonical json.RawMessage, err error) {
	switch kind {
	case KindProfile:
		return decodeChecked(spec, Profile.name, Profile.Validate)
	case KindWorkspace:
		return decodeChecked(spec, Workspace.name, Workspace.Validate)
	case KindService:
		return decodeChecked(spec, Service.name, Service.Validate)
	case KindEndpoint:
		return decodeChecked(spec, Endpoint.name, Endpoint.Validate)
	default:
		return "", nil, failure.New(failure.InvalidObject, fmt.Sprintf("kind: found %q; allowed: %v", kind, Kinds))
	}
}

func (p Profile) name() string   { return p.Name }
func (w Workspace) name() string { return w.Name }
func (s Service) name() string   { return s.Name }
func (e Endpoint) name() string  { return e.Name }

func decodeChecked[T any](spec []byte, name func(T) string, validate func(T) Problems) (string, json.RawMessage, error) {
	var v T
	if err := DecodeStrict(spec, &v); err != nil {
		return "", nil, err
	}
	if err := validate(v).Err("object refused"); err != nil {
		return "", nil, err
	}
	canonical, err := json.Marshal(v)
	if err != nil {
		return "", nil, failure.Wrap(err, failure.Internal, "object could not be encoded")
	}
	return name(v), canonical, nil
}

// DecodeStrict decodes exactly one JSON value into v and rejects unknown fields. The
// failure names the field or the byte offset of the error.
func DecodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return failure.New(failure.InvalidObject, DescribeJSON(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return failure.New(failure.InvalidObject, "found more after the first JSON value; allowed: one value")
	}
	return nil
}

// DescribeJSON formats a decoding error of encoding/json: the field or byte offset, the
// value found and the values allowed.
func DescribeJSON(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("%s: found a JSON %s; allowed: %s", typeErr.Field, typeErr.Value, typeErr.Type)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return fmt.Sprintf("byte %d: %s; allowed: well-formed JSON", syntaxErr.Offset, syntaxErr)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "found the end of the input; allowed: a whole JSON value"
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

func checkName(p *Problems, path, name string) {
	p.Check(len(name) <= maxNameLength && namePattern.MatchString(name), path, fmt.Sprintf("%q", name), namePatternAllows)
}

func checkRange(p *Problems, path string, n, low, high int) {
	p.Check(n >= low && n <= high, path, n, fmt.Sprintf("%d to %d", low, high))
}

// Validate returns all problems of p.
func (p Profile) Validate() Problems {
	var out Problems
	checkName(&out, "name", p.Name)
	if p.Class != "" {
		checkName(&out, "class", p.Class)
	}
	checkRange(&out, "tier", int(p.Tier), int(HighestTier), int(LowestTier))
	checkRange(&out, "target.first_token_ms", p.Target.FirstTokenMS, 0, maxTargetMS)
	checkRange(&out, "target.between_tokens_ms", p.Target.BetweenTokensMS, 0, maxTargetMS)
	checkRange(&out, "target.complete_ms", p.Target.CompleteMS, 0, maxTargetMS)
	out.Check(p.Target.FirstTokenMS > 0 || p.Target.CompleteMS > 0, "target", "no target", "first_token_ms or complete_ms above 0")
	if p.FloorPercent != nil {
		out.Check(*p.FloorPercent >= 0 && *p.FloorPercent <= maxFloorPercent, "floor_percent", *p.FloorPercent, "0 to 20")
	}
	checkRange(&out, "max_wait_ms", p.MaxWaitMS, 0, maxTargetMS)
	checkRange(&out, "max_output_tokens", p.MaxOutputTokens, 0, maxOutputTokens)
	return out
}

// Validate returns all problems of w.
func (w Workspace) Validate() Problems {
	var out Problems
	checkName(&out, "name", w.Name)
	out.Check(len(w.KeyHashes) > 0 && len(w.KeyHashes) <= maxKeyHashes, "key_hashes", fmt.Sprintf("%d entries", len(w.KeyHashes)), "1 to 16 entries")
	for i, h := range w.KeyHashes {
		out.Check(hashPattern.MatchString(h), fmt.Sprintf("key_hashes[%d]", i), fmt.Sprintf("%d characters", len(h)), fmt.Sprintf("a SHA-256 sum of %d hex digits", keyHashHexLength))
	}
	checkRange(&out, "weight", w.Weight, 0, maxWeight)
	for i, name := range w.Profiles {
		checkName(&out, fmt.Sprintf("profiles[%d]", i), name)
	}
	allowed := len(w.Profiles) == 0 || w.DefaultProfile == "" || lo.Contains(w.Profiles, w.DefaultProfile)
	out.Check(allowed, "default_profile", fmt.Sprintf("%q", w.DefaultProfile), "one of profiles")
	return out
}

// Validate returns all problems of s.
func (s Service) Validate() Problems {
	var out Problems
	checkName(&out, "name", s.Name)
	out.Check(s.Kind == Engine || s.Kind == Plain, "kind", fmt.Sprintf("%q", s.Kind), `"engine" or "plain"`)
	out.Check(s.Kind != Engine || len(s.Models) > 0, "models", "none", "at least one for an engine service")
	out.Check(s.Kind != Plain || len(s.Models) == 0, "models", fmt.Sprintf("%d entries", len(s.Models)), "none for a plain service")
	for i, m := range s.Models {
		out.Check(m != "" && len(m) <= 255, fmt.Sprintf("models[%d]", i), fmt.Sprintf("%q", m), "1 to 255 characters")
	}
	return out
}

// Validate returns all problems of e.
func (e Endpoint) Validate() Problems {
	var out Problems
	checkName(&out, "name", e.Name)
	checkName(&out, "service", e.Service)
	addr, err := netip.ParseAddrPort(e.Address)
	out.Check(err == nil && addr.Port() != 0, "address", fmt.Sprintf("%q", e.Address), "an IP number and port, such as 192.0.2.7:8000")
	checkName(&out, "data_centre", e.DataCentre)
	checkRange(&out, "max_concurrent", e.MaxConcurrent, 0, maxConcurrent)
	return out
}

// Has reports whether p contains a problem with exactly this path.
func (p Problems) Has(path string) bool {
	return lo.ContainsBy(p, func(x Problem) bool { return x.Path == path })
}
