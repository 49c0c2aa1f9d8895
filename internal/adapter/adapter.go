// Package adapter defines what differs between the platforms that a gateway can run on. An
// adapter only translates: it makes no decisions and holds no state.
package adapter

import (
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Source locates and decodes a gateway's configuration among the platform's objects.
type Source interface {
	// TableObject names the object that holds the route table.
	TableObject() (collection, name string)
	// EndpointCollection names the collection in which endpoints register themselves.
	EndpointCollection() string
	// DecodeTable decodes the object that TableObject names.
	DecodeTable(data []byte) (routetable.Spec, error)
	// DecodeEndpoint decodes an object of the endpoint collection; id is the object's name.
	DecodeEndpoint(id string, data []byte) (routetable.Endpoint, error)
}

// Adapter holds the names and the codecs of one platform.
type Adapter struct {
	// SettingsVariable is the environment variable that holds the path of the settings file.
	SettingsVariable string
	// ReadinessPath is the path of the load balancer's readiness check.
	ReadinessPath string
	Headers       headers.Names
	// MakeRequestIDs assigns an ID to each request that arrives without one; if it is unset, such
	// requests are refused.
	MakeRequestIDs bool
	// Dialect is the shape of the platform's object API. Default: primrosewell's own.
	Dialect platform.Dialect
	Source  Source
	// Duties is nil if the platform has no calls that one gateway at a time makes.
	Duties Duties
}
