package routetable

import "time"

// Endpoint is a registered endpoint of a service. Gateways exchange it as JSON, so its field
// names are part of the peer protocol.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Draining endpoints finish their requests in progress and get no new ones.
	Draining bool
	// WarmUp is the remaining time for which the endpoint is slow after its start.
	WarmUp time.Duration `json:"ColdFor"`
	// StartedAt is the process start time in Unix milliseconds; a restarted endpoint may keep
	// its ID.
	StartedAt int64 `json:"Born"`
	// Version is the version of the endpoint's software. Endpoints of several versions may
	// serve side by side; what two versions write in a stream doesn't fit together.
	Version string `json:",omitempty"`
}
