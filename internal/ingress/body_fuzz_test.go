package ingress

import (
	"testing"

	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// FuzzEngineBody checks that every body is either accepted with a model or refused with
// the outcome not_run.
func FuzzEngineBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[]}`, `{"model":"m","prompt":"p","max_tokens":3}`, `{"model":`, `[]`, `null`, `"x"`,
		`{"model":1,"messages":{}}`, `{"model":"m","n":2,"messages":[]}`, `{"model":"m","max_tokens":-1,"prompt":"p"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, api := range []dispatch.API{dispatch.ChatCompletions, dispatch.Completions} {
			parsed, err := parseEngineBody(body, api)
			if err == nil && parsed.Model == "" {
				t.Fatal("accepted without a model")
			}
			if err != nil && failure.From(err).Outcome != failure.NotRun {
				t.Fatalf("the outcome is not not_run: %v", err)
			}
		}
	})
}
