package settings_test

import (
	"testing"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/settings"
)

// FuzzParse checks that any file is either valid or refused with a typed failure,
// and that what was accepted passes its own checks.
func FuzzParse(f *testing.F) {
	f.Add(settings.Example())
	for _, seed := range []string{``, `{}`, `[]`, `{"vm":null}`, `{"vm":[1]}`, `{"limits":{"attempts":1e300}}`, `{"peers":{"seeds":[1,{}]}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err == nil && len(s.Validate()) > 0 {
			t.Fatal("accepted, yet not valid")
		}
		if err != nil && failure.CodeOf(err) != failure.InvalidObject {
			t.Fatalf("not a typed refusal: %v", err)
		}
	})
}
