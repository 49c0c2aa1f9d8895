package forward

import (
	"strconv"
	"strings"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// Headers are the names of the header fields between callers, daemon and endpoints. An
// empty name means that the field is not used.
type Headers struct {
	// RequestID names a request; endpoints echo it.
	RequestID string `json:"request_id"`
	// Deadline is the time left, in ms.
	Deadline string `json:"deadline"`
	// Key is the caller's API key; it is never passed on.
	Key string `json:"key"`
	// Workspace is set to the name of the key's workspace.
	Workspace string `json:"workspace"`
	// Endpoint is set to the ID of the chosen endpoint; another one refuses the request.
	Endpoint string `json:"endpoint"`
	// Priority is set to the urgency at a model engine; 0 is first.
	Priority string `json:"priority"`
	// PromptSize declares the tokens of the prompt and the most tokens of the answer: "1460,80".
	PromptSize string `json:"prompt_size"`
	// PromptParts declares the parts of the prompt in order: "ID:TOKENS,ID:TOKENS".
	PromptParts string `json:"prompt_parts"`
	// FetchFrom is set to the address of an endpoint from which an engine may copy the
	// shared parts of a prompt instead of reading them.
	FetchFrom string `json:"fetch_from"`
	// LastEventID is the last event that the caller has; the answer goes on after it.
	LastEventID string `json:"last_event_id"`
	// NotRun is set by an endpoint on an answer to a request that it did not run.
	NotRun string `json:"not_run"`
	// Seal must be on every success of an endpoint.
	Seal string `json:"seal"`
	// Load tells an endpoint's running requests, waiting requests and slots; it is not passed on.
	Load string `json:"load"`
	// Reserved are further fields that callers may not set.
	Reserved []string `json:"reserved"`
}

// DefaultHeaders are the names of primrosewell's own interface.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: "Primrosewell-Request-Id", Deadline: "Primrosewell-Deadline-Ms", Key: "Primrosewell-Key",
		Workspace: "Primrosewell-Workspace", Endpoint: "Primrosewell-Endpoint", Priority: "Primrosewell-Priority",
		PromptSize: "Primrosewell-Prompt-Size", PromptParts: "Primrosewell-Prompt-Parts",
		LastEventID: "Last-Event-Id", NotRun: "Primrosewell-Not-Run",
	}
}

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
	"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect",
}

// filters are the lower-case names that are dropped in each direction.
type filters struct {
	request  map[string]bool
	response map[string]bool
}

func newFilters(h Headers) filters {
	f := filters{request: make(map[string]bool), response: make(map[string]bool)}
	for _, name := range hopByHop {
		f.request[name], f.response[name] = true, true
	}
	for _, name := range append([]string{h.Deadline, h.Key, h.Workspace, h.Endpoint, h.Priority, h.FetchFrom, h.NotRun, h.Seal, h.Load}, h.Reserved...) {
		f.request[strings.ToLower(name)] = true
	}
	f.response[strings.ToLower(h.Load)] = true
	return f
}

// perConnection adds the fields that a Connection field names.
func perConnection(value string) map[string]bool {
	if value == "" {
		return nil
	}
	named := make(map[string]bool)
	for _, name := range strings.Split(value, ",") {
		named[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return named
}

// parsePrompt reads the declared size and parts; what can't be read counts as not declared.
func parsePrompt(size, parts string) (tokens int, declared []balance.Part) {
	in, _, _ := strings.Cut(size, ",")
	tokens, err := strconv.Atoi(strings.TrimSpace(in))
	if err != nil || tokens < 0 {
		tokens = 0
	}
	if parts == "" {
		return tokens, nil
	}
	for _, item := range strings.Split(parts, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(item), ":")
		n, err := strconv.Atoi(count)
		if err != nil || n < 0 || id == "" {
			return tokens, nil
		}
		declared = append(declared, balance.Part{ID: id, Tokens: n})
	}
	return tokens, declared
}

func appendField(block []byte, f httpio.Field) []byte {
	block = append(block, f.Name...)
	block = append(block, ": "...)
	block = append(block, f.Value...)
	return append(block, "\r\n"...)
}
