// Package adapter says what differs between the platforms that a gateway runs on. An
// adapter only translates; it decides nothing and keeps nothing.
package adapter

import (
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Source decodes the platform's objects.
type Source interface {
	// TableObject names the object that holds the route table.
	TableObject() (collection, name string)
	// EndpointCollection names the collection in which endpoints register themselves.
	EndpointCollection() string
	DecodeTable(data []byte) (routetable.Spec, error)
	DecodeEndpoint(id string, data []byte) (routetable.Endpoint, error)
}

// Adapter is what differs between platforms; it only translates.
type Adapter struct {
	// SettingsVariable is the environment variable that holds the path of the settings file.
	SettingsVariable string
	// ReadinessPath is where the balancer asks.
	ReadinessPath string
	Headers       headers.Names
	// MakeRequestIDs names requests that callers did not name; otherwise they are refused.
	MakeRequestIDs bool
	Dialect        platform.Dialect
	Source         Source
}
