// Package wire defines the JSON messages and paths of primrosewell's own form of the platform's
// object API, which the client and the stand-in exchange.
package wire

// Paths and query parameters.
const (
	// BasePath is the root of the object API.
	BasePath = "/apis/primrosewell/v1"
	// VMsPath is the path of the list of VMs.
	VMsPath = BasePath + "/vms"
	// PrefixParam restricts a list to names that start with it.
	PrefixParam = "prefix"
	// WatchParam turns a list into a watch.
	WatchParam = "watch"
	// VersionParam is the version to watch from, or the version that an object to delete must have.
	VersionParam = "resourceVersion"
	// EraHeader is the header field of every response that states the platform's era: a number
	// that rises by one each time the platform comes back from an older copy of its data.
	EraHeader = "Primrosewell-Platform-Era"
)

// Object is a stored object. Data is base64 in JSON.
type Object struct {
	Collection string `json:"collection"`
	Name       string `json:"name"`
	Version    int64  `json:"resourceVersion"`
	Data       []byte `json:"data,omitempty"`
}

// List is the response to a list request.
type List struct {
	Version int64    `json:"resourceVersion"`
	Items   []Object `json:"items"`
}

// LineType is the kind of content of a line of a watch stream.
type LineType string

const (
	// LinePut carries a created or updated object.
	LinePut LineType = "put"
	// LineDeleted carries the name and version of a removed object.
	LineDeleted LineType = "deleted"
	// LineBookmark carries only the version that the watch has reached.
	LineBookmark LineType = "bookmark"
	// LineError carries the reason for which the platform ends the watch.
	LineError LineType = "error"
)

// Line is one line of a watch stream. Which fields are set depends on Type.
type Line struct {
	Type   LineType `json:"type"`
	Object *Object  `json:"object,omitempty"`
	Error  *Status  `json:"error,omitempty"`
}

// Status is the body of every response that is not a success.
type Status struct {
	Reason       string `json:"reason"`
	Message      string `json:"message,omitempty"`
	RetryAfterMS int64  `json:"retryAfterMs,omitempty"`
}
