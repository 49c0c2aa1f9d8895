// Package catalog holds the live configuration: profiles, workspaces, services
// and endpoints, how each is checked, and the immutable snapshot that is in force.
package catalog

import "encoding/json"

// Kind names a kind of configuration object.
type Kind string

const (
	// KindProfile is a class of request with its latency target and tier.
	KindProfile Kind = "profile"
	// KindWorkspace is a customer with its API keys and share.
	KindWorkspace Kind = "workspace"
	// KindService is a pool of endpoints.
	KindService Kind = "service"
	// KindEndpoint is one worker of a service.
	KindEndpoint Kind = "endpoint"
)

// Kinds lists every kind.
var Kinds = []Kind{KindProfile, KindWorkspace, KindService, KindEndpoint}

// Record is one configuration object as it is stored.
type Record struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the platform's version of the object; zero for a new one.
	Version int64 `json:"version"`
	// ChangeID is unique to the change that wrote the object. It resolves lost replies.
	ChangeID string `json:"change_id"`
	// ChangedBy names the operator.
	ChangedBy string `json:"changed_by"`
	// Spec is a Profile, Workspace, Service or Endpoint.
	Spec json.RawMessage `json:"spec"`
}

// Tier is a priority level; 1 is the highest.
type Tier int

const (
	// HighestTier is served first.
	HighestTier Tier = 1
	// LowestTier is shed first.
	LowestTier Tier = 3
)

// Target is a latency target. Zero fields state no target.
type Target struct {
	// FirstTokenMS is the time to the first token, in milliseconds.
	FirstTokenMS int `json:"first_token_ms,omitempty"`
	// BetweenTokensMS is the gap between tokens, in milliseconds.
	BetweenTokensMS int `json:"between_tokens_ms,omitempty"`
	// CompleteMS is the time to the whole answer, in milliseconds.
	CompleteMS int `json:"complete_ms,omitempty"`
}

// Profile states a class of request, its latency target and its priority.
type Profile struct {
	Name string `json:"name"`
	// Class groups profiles for floors and for attainment. Default: the profile's name.
	Class string `json:"class,omitempty"`
	// Tier is 1 (served first, shed last) to 3. Required.
	Tier Tier `json:"tier"`
	// Target is what the class is measured against. At least one field is required.
	Target Target `json:"target"`
	// FloorPercent is the share of dispatches that the class gets under load, in percent,
	// 0 to 20. Default 2.
	FloorPercent *float64 `json:"floor_percent,omitempty"`
	// MaxWaitMS bounds the time in the queue, in milliseconds. Default: the first-token
	// target, else the target for the whole answer.
	MaxWaitMS int `json:"max_wait_ms,omitempty"`
	// MaxOutputTokens caps the answer, in tokens. Default: no cap of the profile's own.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
}

// Workspace is a customer.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 sums of the workspace's API keys, in hex.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the workspace's share within a class, 1 to 100. Default 1.
	Weight int `json:"weight,omitempty"`
	// Profiles are the profiles that the workspace may use. Default: all.
	Profiles []string `json:"profiles,omitempty"`
	// DefaultProfile is used when a request names none.
	DefaultProfile string `json:"default_profile,omitempty"`
}

// ServiceKind tells model engines from plain services.
type ServiceKind string

const (
	// Engine services speak the OpenAI HTTP API.
	Engine ServiceKind = "engine"
	// Plain services take any HTTP call.
	Plain ServiceKind = "plain"
)

// Service is a pool of endpoints that are interchangeable.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Models are the model names that an engine service answers to.
	Models []string `json:"models,omitempty"`
}

// Endpoint is one worker of a service.
type Endpoint struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Address is the IP number and port, such as 192.0.2.7:8000.
	Address string `json:"address"`
	// DataCentre is where the endpoint runs.
	DataCentre string `json:"data_centre"`
	// MaxConcurrent caps the requests that the endpoint runs at once. Default 64.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// Leaving takes the endpoint out: no new work. Default false.
	Leaving bool `json:"leaving,omitempty"`
}

// Defaults of optional fields.
const (
	DefaultFloorPercent  = 2.0
	DefaultWeight        = 1
	DefaultMaxConcurrent = 64
)
