// Package catalog defines the live configuration: profiles, workspaces, services and
// endpoints, their validation, and immutable snapshots of them.
package catalog

import "encoding/json"

// Kind is the type of a configuration object.
type Kind string

const (
	// KindProfile is a request class with its latency target and tier.
	KindProfile Kind = "profile"
	// KindWorkspace is a customer with its API keys and weight.
	KindWorkspace Kind = "workspace"
	// KindService is a set of interchangeable endpoints.
	KindService Kind = "service"
	// KindEndpoint is one worker of a service.
	KindEndpoint Kind = "endpoint"
)

// Kinds lists all kinds.
var Kinds = []Kind{KindProfile, KindWorkspace, KindService, KindEndpoint}

// Record is a configuration object in its stored form.
type Record struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the platform's version of the object; zero for a new object.
	Version int64 `json:"version"`
	// ChangeID uniquely identifies the change that wrote the object. After a lost reply it
	// shows whether the change was stored.
	ChangeID string `json:"change_id"`
	// ChangedBy is the name of the operator who wrote the object.
	ChangedBy string `json:"changed_by"`
	// Spec is the JSON of a Profile, Workspace, Service or Endpoint, according to Kind.
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

// Target is a latency target. A zero field means no target.
type Target struct {
	// FirstTokenMS is the time to first token, in milliseconds.
	FirstTokenMS int `json:"first_token_ms,omitempty"`
	// BetweenTokensMS is the inter-token latency, in milliseconds.
	BetweenTokensMS int `json:"between_tokens_ms,omitempty"`
	// CompleteMS is the time to the complete response, in milliseconds.
	CompleteMS int `json:"complete_ms,omitempty"`
}

// Profile defines a request class, its latency target and its priority.
type Profile struct {
	Name string `json:"name"`
	// Class groups profiles for floors and for attainment. Default: the profile's name.
	Class string `json:"class,omitempty"`
	// Tier is 1 (served first, shed last) to 3. Required.
	Tier Tier `json:"tier"`
	// Target is the latency target that attainment is measured against. It needs FirstTokenMS
	// or CompleteMS.
	Target Target `json:"target"`
	// FloorPercent is the minimum share of dispatches that the class gets under load, in
	// percent, 0 to 20. Default 2.
	FloorPercent *float64 `json:"floor_percent,omitempty"`
	// MaxWaitMS bounds the time in the queue, in milliseconds. Default: Target.FirstTokenMS,
	// or Target.CompleteMS if that is not set.
	MaxWaitMS int `json:"max_wait_ms,omitempty"`
	// MaxOutputTokens caps the response, in tokens. Default: no cap from the profile.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
}

// Workspace defines a customer: its API keys, weight and allowed profiles.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 sums of the workspace's API keys, in hex.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the workspace's relative share within a class, 1 to 100. Default 1.
	Weight int `json:"weight,omitempty"`
	// Profiles are the profiles that the workspace may use. Default: all.
	Profiles []string `json:"profiles,omitempty"`
	// DefaultProfile applies to requests that name no profile.
	DefaultProfile string `json:"default_profile,omitempty"`
}

// ServiceKind distinguishes model engines from plain HTTP services.
type ServiceKind string

const (
	// Engine services implement the OpenAI HTTP API.
	Engine ServiceKind = "engine"
	// Plain services accept any HTTP request.
	Plain ServiceKind = "plain"
)

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Models are the model names that an engine service serves.
	Models []string `json:"models,omitempty"`
}

// Endpoint is one worker of a service.
type Endpoint struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Address is the IP address and port, such as 192.0.2.7:8000.
	Address string `json:"address"`
	// DataCentre is where the endpoint runs.
	DataCentre string `json:"data_centre"`
	// MaxConcurrent caps the endpoint's concurrent requests. Default 64.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// Leaving excludes the endpoint from new requests. Default false.
	Leaving bool `json:"leaving,omitempty"`
}

// Defaults of optional fields.
const (
	DefaultFloorPercent  = 2.0
	DefaultWeight        = 1
	DefaultMaxConcurrent = 64
)
