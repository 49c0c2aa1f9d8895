package catalog_test

import (
	"testing"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// FuzzDecode checks that any spec either is rejected with an InvalidObject failure, or has a
// canonical form that decodes to itself and that NewSnapshot accepts.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"name":"a","tier":1,"target":{"first_token_ms":1}}`, `{"name":"s","kind":"engine","models":["m"]}`,
		`{"name":"e","service":"s","address":"127.0.0.1:1","data_centre":"d"}`, `{"floor_percent":1e999}`, `{}`, `[`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, spec []byte) {
		for _, kind := range catalog.Kinds {
			name, canonical, err := catalog.Decode(kind, spec)
			if err != nil {
				if failure.CodeOf(err) != failure.InvalidObject {
					t.Fatalf("not an InvalidObject failure: %v", err)
				}
				continue
			}
			secondName, secondCanonical, err := catalog.Decode(kind, canonical)
			if err != nil || secondName != name || string(secondCanonical) != string(canonical) {
				t.Fatalf("canonical form %s does not decode to itself: %v", canonical, err)
			}
			if _, skipped := catalog.NewSnapshot(1, []catalog.Record{{Kind: kind, Name: name, Spec: canonical}}); len(skipped) > 0 {
				t.Fatalf("snapshot skipped %s", canonical)
			}
		}
	})
}
