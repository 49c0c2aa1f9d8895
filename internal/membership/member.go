// Package membership tracks the live daemons by heartbeats over the peer protocol. The
// platform's list of VMs, which lags behind, only provides addresses to contact first.
package membership

// State is the state that a member announced, or Suspected if it cannot be reached.
type State string

const (
	// Live members accept new work.
	Live State = "live"
	// Leaving members finish their work in progress and accept no new work.
	Leaving State = "leaving"
	// Suspected members have missed heartbeats and may have failed.
	Suspected State = "suspected"
)

// Member is one daemon.
type Member struct {
	// ID is the VM's name; Incarnation is new at each start of the process.
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// PeerAddress and AdminAddress are IP addresses with a port.
	PeerAddress  string `json:"peer_address"`
	AdminAddress string `json:"admin_address"`
	DataCentre   string `json:"data_centre"`
	State        State  `json:"state"`
	// Revision is the configuration revision in force on the member.
	Revision int64 `json:"revision"`
	// ConfigDigest is the hash of the configuration records in force on the member.
	ConfigDigest uint64 `json:"config_digest"`
}

// View is the current membership as this daemon sees it. Methods may be called concurrently.
type View interface {
	// Self returns this daemon.
	Self() Member
	// Members returns every known member, this one included, sorted by ID.
	Members() []Member
}
