// Package membership tracks the live daemons by heartbeats on the inner protocol,
// seeded by the platform's lagging list of VMs.
package membership

// State is what a member says of itself, or what its silence says.
type State string

const (
	// Live members take new work.
	Live State = "live"
	// Leaving members finish what they have and take nothing new.
	Leaving State = "leaving"
	// Suspected members have missed heartbeats.
	Suspected State = "suspected"
)

// Member is one daemon.
type Member struct {
	// ID is the VM's name; Incarnation is new at each start of the process.
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// PeerAddress and AdminAddress are IP number and port.
	PeerAddress  string `json:"peer_address"`
	AdminAddress string `json:"admin_address"`
	DataCentre   string `json:"data_centre"`
	State        State  `json:"state"`
	// Revision is the configuration revision in force on the member.
	Revision int64 `json:"revision"`
	// ConfigDigest sums up the configuration records in force on the member.
	ConfigDigest uint64 `json:"config_digest"`
}

// View is the present membership as this daemon sees it. Methods may be called concurrently.
type View interface {
	// Self returns this daemon.
	Self() Member
	// Members returns every known member, this one included, sorted by ID.
	Members() []Member
}
