package routetable

import "time"

// Endpoint is one endpoint as it registered itself.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Draining endpoints finish what they have and get nothing new.
	Draining bool
	// ColdFor is how much longer the endpoint is slow after its start.
	WarmUp time.Duration
	// Born is the start of this life in Unix milliseconds; the ID may outlive it.
	StartedAt int64
}
