package settings_test

import (
	"testing"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/settings"
)

// FuzzParse checks that Parse either returns valid settings or fails with
// invalid_object, whatever the input.
func FuzzParse(f *testing.F) {
	f.Add(settings.Example())
	for _, seed := range []string{``, `{}`, `[]`, `{"vm":null}`, `{"vm":[1]}`, `{"limits":{"attempts":1e300}}`, `{"peers":{"seeds":[1,{}]}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err == nil && len(s.Validate()) > 0 {
			t.Fatal("Parse accepted settings that Validate rejects")
		}
		if err != nil && failure.CodeOf(err) != failure.InvalidObject {
			t.Fatalf("error without the code invalid_object: %v", err)
		}
	})
}
