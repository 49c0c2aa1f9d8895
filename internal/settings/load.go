package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// Load reads the settings file at path, fills in defaults and validates the result. The
// error is a *failure.Failure of code invalid_object that lists every problem.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, failure.New(failure.InvalidObject, "settings file: "+err.Error())
	}
	return Parse(data)
}

// Parse decodes settings from JSON, fills in defaults and secrets, and validates them.
// Its error is that of Load.
func Parse(data []byte) (Settings, error) {
	var raw map[string]any
	if err := catalog.DecodeStrict(data, &raw); err != nil {
		return Settings{}, err
	}
	s := Defaults()
	problems := decodeInto(raw, &s)
	problems = append(problems, s.readSecrets()...)
	for _, p := range s.Validate() {
		if !problems.Has(p.Path) {
			problems = append(problems, p)
		}
	}
	return s, problems.Err("settings refused")
}

func decodeInto(raw map[string]any, s *Settings) catalog.Problems {
	var problems catalog.Problems
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     s,
		TagName:    "json",
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(parseDurationHook, rejectFractionHook),
	})
	if err != nil {
		problems.Add("settings", err, "a decodable file")
		return problems
	}
	addDecodeErrors(&problems, decoder.Decode(raw))
	addUnknownFields(&problems, "", raw, reflect.TypeFor[Settings]())
	return problems
}

// addUnknownFields adds a problem for each key in value, at any depth, that type t has no
// field for.
func addUnknownFields(problems *catalog.Problems, path string, value any, t reflect.Type) {
	switch v := value.(type) {
	case map[string]any:
		if t.Kind() == reflect.Struct {
			addUnknownKeys(problems, path, v, t)
		}
	case []any:
		if t.Kind() != reflect.Slice {
			return
		}
		for i, item := range v {
			addUnknownFields(problems, fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
		}
	}
}

func addUnknownKeys(problems *catalog.Problems, path string, object map[string]any, t reflect.Type) {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("json")] = t.Field(i).Type
	}
	keys := lo.Keys(object)
	slices.Sort(keys)
	for _, key := range keys {
		field := strings.TrimPrefix(path+"."+key, ".")
		if fieldType, known := fields[key]; known {
			addUnknownFields(problems, field, object[key], fieldType)
			continue
		}
		allowed := lo.Keys(fields)
		slices.Sort(allowed)
		problems.Add(field, "an unknown field", strings.Join(allowed, ", "))
	}
}

// addDecodeErrors walks nested and joined errors and adds one problem per field.
func addDecodeErrors(problems *catalog.Problems, err error) {
	switch e := err.(type) { //nolint:errorlint // the walk visits each level of the tree itself.
	case nil:
	case *mapstructure.DecodeError:
		addFieldErrors(problems, e)
	case interface{ Unwrap() []error }:
		for _, inner := range e.Unwrap() {
			addDecodeErrors(problems, inner)
		}
	case interface{ Unwrap() error }:
		addDecodeErrors(problems, e.Unwrap())
	default:
		problems.Add("settings", err, "a JSON object")
	}
}

func addFieldErrors(problems *catalog.Problems, e *mapstructure.DecodeError) {
	var inner *mapstructure.DecodeError
	if errors.As(e.Unwrap(), &inner) {
		addDecodeErrors(problems, e.Unwrap())
		return
	}
	problems.Add(e.Name(), describeFound(e.Unwrap()), describeAllowed(e.Unwrap()))
}

// describeFound returns the rejected value, or its JSON type, for the problem's text.
func describeFound(err error) string {
	var typeErr *mapstructure.UnconvertibleTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("a value of type %s", jsonTypeName(reflect.TypeOf(typeErr.Value)))
	}
	var durationErr *durationError
	if errors.As(err, &durationErr) {
		return durationErr.found
	}
	var fractionErr *fractionError
	if errors.As(err, &fractionErr) {
		return fmt.Sprintf("%v", fractionErr.found)
	}
	return err.Error()
}

// describeAllowed returns what the field accepts, for the problem's text.
func describeAllowed(err error) string {
	var typeErr *mapstructure.UnconvertibleTypeError
	if errors.As(err, &typeErr) {
		return jsonTypeName(typeErr.Expected.Type())
	}
	var fractionErr *fractionError
	if errors.As(err, &fractionErr) {
		return "a whole number"
	}
	return durationAllowed
}

func jsonTypeName(t reflect.Type) string {
	if t == nil {
		return "null"
	}
	switch t.Kind() {
	case reflect.Map, reflect.Struct:
		return "object"
	case reflect.Slice:
		return "array"
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	default:
		return "number"
	}
}

const durationAllowed = `a duration with its unit, such as "250ms", "30s" or "24h"`

// fractionError reports a fraction where a whole number is expected.
type fractionError struct{ found float64 }

// Error implements error.
func (e *fractionError) Error() string {
	return fmt.Sprintf("found %v; allowed: a whole number", e.found)
}

func rejectFractionHook(_, to reflect.Type, value any) (any, error) {
	number, ok := value.(float64)
	if ok && to.Kind() == reflect.Int && number != math.Trunc(number) {
		return nil, &fractionError{found: number}
	}
	return value, nil
}

// durationError reports a duration without a unit or with an unknown one.
type durationError struct{ found string }

// Error implements error.
func (e *durationError) Error() string { return "found " + e.found + "; allowed: " + durationAllowed }

func parseDurationHook(from, to reflect.Type, value any) (any, error) {
	if to != reflect.TypeFor[time.Duration]() {
		return value, nil
	}
	text, ok := value.(string)
	if !ok {
		return nil, &durationError{found: fmt.Sprintf("%v (%s)", value, jsonTypeName(from))}
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil, &durationError{found: fmt.Sprintf("%q", text)}
	}
	return d, nil
}

// readSecrets sets the secrets that are given as files.
func (s *Settings) readSecrets() catalog.Problems {
	var problems catalog.Problems
	s.Peers.SharedKey = readSecret(&problems, "peers.shared_key", s.Peers.SharedKey, s.Peers.SharedKeyFile)
	s.Platform.Token = readSecret(&problems, "platform.token", s.Platform.Token, s.Platform.TokenFile)
	return problems
}

func readSecret(problems *catalog.Problems, path, value, file string) string {
	if file == "" {
		return value
	}
	problems.Check(value == "", path+"_file", "both "+path+" and the file", "one of them")
	data, err := os.ReadFile(file)
	if err != nil {
		problems.Add(path+"_file", err, "a readable file")
		return value
	}
	return strings.TrimSpace(string(data))
}

// Example returns a valid settings file, for documentation and `settings example`.
func Example() []byte {
	example := map[string]any{
		"vm":       map[string]any{"id": "entry-1", "data_centre": "scot-1"},
		"callers":  map[string]any{"listen": "127.0.0.1:8080"},
		"admin":    map[string]any{"listen": "127.0.0.1:8081", "operators": []any{map[string]any{"name": "dba", "token_hash": strings.Repeat("0", sha256HexLength)}}},
		"peers":    map[string]any{"listen": "127.0.0.1:8082", "shared_key": "replace-this-shared-key"},
		"platform": map[string]any{"url": "http://127.0.0.1:7000", "token": "replace-this-token"},
	}
	data, _ := json.MarshalIndent(example, "", "  ")
	return append(data, '\n')
}
