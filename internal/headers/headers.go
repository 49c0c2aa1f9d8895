// Package headers holds the names of the header fields between callers, gateways and
// endpoints. Platforms name them differently; what they mean is the same.
package headers

// Names are the names of the header fields between callers, daemon and endpoints. An
// empty name means that the field is not used.
type Names struct {
	// RequestID names a request; endpoints echo it.
	RequestID string `json:"request_id"`
	// Deadline is the time left, in ms.
	Deadline string `json:"deadline"`
	// Key is the caller's API key; it is never passed on.
	APIKey string `json:"key"`
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
	ResponseSignature string `json:"seal"`
	// Load tells an endpoint's running requests, waiting requests and slots; it is not passed on.
	Load string `json:"load"`
	// Reserved are further fields that callers may not set.
	Reserved []string `json:"reserved"`
}

// Default returns the names of primrosewell's own interface.
func Default() Names {
	return Names{
		RequestID: "Primrosewell-Request-Id", Deadline: "Primrosewell-Deadline-Ms", APIKey: "Primrosewell-Key",
		Workspace: "Primrosewell-Workspace", Endpoint: "Primrosewell-Endpoint", Priority: "Primrosewell-Priority",
		PromptSize: "Primrosewell-Prompt-Size", PromptParts: "Primrosewell-Prompt-Parts",
		LastEventID: "Last-Event-Id", NotRun: "Primrosewell-Not-Run",
	}
}
