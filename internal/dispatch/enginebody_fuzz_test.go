package dispatch

import (
	"encoding/json"
	"testing"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// FuzzEngineBody parses arbitrary bytes as the body of an engine call. Parsing must not
// panic, and an accepted body must encode to JSON that requests a stream, also when the
// response is resumed.
func FuzzEngineBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`), true, "")
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"max_completion_tokens":3,"tools":[]}`), true, " w0.1234")
	f.Add([]byte(`{"prompt":"x","stream_options":{"include_usage":true},"max_tokens":-1}`), false, "\xff")
	f.Add([]byte(`null`), false, "")
	f.Add([]byte(`{"messages":null}`), true, "x")
	f.Fuzz(func(t *testing.T, body []byte, chat bool, sent string) {
		request := Request{API: Completions, Body: body}
		if chat {
			request.API = ChatCompletions
		}
		parsed, refused := parseEngineBody(request)
		if refused != nil {
			if refused.Code != failure.InvalidRequest || refused.Outcome != failure.NotRun {
				t.Fatalf("refused with code %s, outcome %s", refused.Code, refused.Outcome)
			}
			return
		}
		_ = parsed.promptText()
		for _, done := range []progress{{}, {text: sent, tokens: 1}} {
			var out struct {
				Stream   bool `json:"stream"`
				Priority int  `json:"priority"`
			}
			if err := json.Unmarshal(parsed.encode(2, done), &out); err != nil || !out.Stream || out.Priority != 2 {
				t.Fatalf("encoded as %s", parsed.encode(2, done))
			}
		}
	})
}
