// Package headers defines the header fields between callers, gateways and endpoints. Their
// names depend on the platform; their meaning does not.
package headers

// Names holds the name of each header field. An empty name means that the field is not
// used.
type Names struct {
	// RequestID identifies a request; endpoints echo it in the response.
	RequestID string `json:"request_id"`
	// Deadline is the time left for the request, in ms.
	Deadline string `json:"deadline"`
	// APIKey is the caller's API key; it is never forwarded.
	APIKey string `json:"key"`
	// Workspace is set to the name of the workspace that the API key belongs to.
	Workspace string `json:"workspace"`
	// Endpoint is set to the ID of the chosen endpoint, so that any other endpoint refuses the
	// request.
	Endpoint string `json:"endpoint"`
	// Priority is set to the request's priority at a model engine; 0 is the highest.
	Priority string `json:"priority"`
	// PromptSize declares the number of prompt tokens and the maximum number of output tokens:
	// "1460,80".
	PromptSize string `json:"prompt_size"`
	// PromptParts declares the parts of the prompt in order: "ID:TOKENS,ID:TOKENS".
	PromptParts string `json:"prompt_parts"`
	// FetchFrom is set to the address of an endpoint from which a model engine may copy the
	// cached shared parts of a prompt instead of processing them again.
	FetchFrom string `json:"fetch_from"`
	// LastEventID is the ID of the last event that the caller received; the response resumes
	// after it.
	LastEventID string `json:"last_event_id"`
	// Resumes names the request whose response began the stream that the caller resumes.
	Resumes string `json:"resumes"`
	// Leaving is set to "1" by an endpoint that shuts down, on all its responses; it is not
	// forwarded to callers.
	Leaving string `json:"leaving"`
	// Limit names, on all responses of an endpoint in need, the requests a second that it takes from
	// all daemons together; it is not forwarded to callers.
	Limit string `json:"limit"`
	// Brittle names, on all responses of an endpoint in need, the rejections a second that it bears: with
	// one more it falls over. It is not forwarded to callers.
	Brittle string `json:"brittle"`
	// NotRun is set by an endpoint on the response to a request that it did not run.
	NotRun string `json:"not_run"`
	// ResponseSignature must be present on every successful response of an endpoint.
	ResponseSignature string `json:"seal"`
	// Load reports an endpoint's running requests, waiting requests and slots, and may add how long
	// work takes there at this moment, 100 being as usual: "3,0,64,250". It is not forwarded to callers.
	Load string `json:"load"`
	// Reserved lists further fields that callers must not set.
	Reserved []string `json:"reserved"`
}

// Default returns the names that primrosewell uses without a platform adapter.
func Default() Names {
	return Names{
		RequestID: "Primrosewell-Request-Id", Deadline: "Primrosewell-Deadline-Ms", APIKey: "Primrosewell-Key",
		Workspace: "Primrosewell-Workspace", Endpoint: "Primrosewell-Endpoint", Priority: "Primrosewell-Priority",
		PromptSize: "Primrosewell-Prompt-Size", PromptParts: "Primrosewell-Prompt-Parts",
		LastEventID: "Last-Event-Id", Resumes: "Primrosewell-Resumes", NotRun: "Primrosewell-Not-Run", Leaving: "Primrosewell-Leaving", Limit: "Primrosewell-Limit", Brittle: "Primrosewell-Brittle",
	}
}
