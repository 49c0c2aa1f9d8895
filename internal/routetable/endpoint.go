package routetable

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/samber/oops"
)

const (
	// MaxNameBytes bounds the names in an endpoint's entry, which go into header fields, metrics and
	// log lines.
	MaxNameBytes = 256
	// MaxSlots bounds the requests that one endpoint runs at a time. The slots of all endpoints are
	// added up.
	MaxSlots = 1 << 16
	// MaxWarmUp bounds the warm-up in both directions: entries may hold one that has ended.
	MaxWarmUp = 24 * time.Hour
	// maxStartedAt is the end of the year 9999 in Unix milliseconds. Of two processes at one address
	// the one that started last counts, so a start out of range would hide the others permanently.
	maxStartedAt = 253_402_300_799_999
)

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
	// Reclaimable endpoints cost less and may be taken away at any time, all of a data centre at once.
	Reclaimable bool `json:",omitempty"`
	// LeavesIn is how long the endpoint stays, from the time of its registration, or 0 if it has not
	// said so.
	LeavesIn time.Duration `json:",omitempty"`
}

// Check returns an error if the endpoint can't be used, because what its entry holds is out of
// bounds. It doesn't check the address; see ParseAddress.
func (e Endpoint) Check() error {
	switch {
	case e.ID == "" || len(e.ID) > MaxNameBytes || strings.ContainsFunc(e.ID, func(r rune) bool { return r <= ' ' || r > '~' }):
		return oops.Errorf("endpoint has an ID of %d bytes that is no header value", len(e.ID))
	case e.Service == "":
		return oops.Errorf("endpoint has no service")
	case !isName(e.Service) || !isName(e.DataCentre) || !isName(e.Version):
		return oops.Errorf("endpoint has a service, data centre or version that is no name of up to %d bytes", MaxNameBytes)
	case e.Slots < 0 || e.Slots > MaxSlots:
		return oops.Errorf("endpoint has %d slots, not 0 to %d", e.Slots, MaxSlots)
	case e.WarmUp < -MaxWarmUp || e.WarmUp > MaxWarmUp:
		return oops.Errorf("endpoint has a warm-up of %s, beyond %s", e.WarmUp, MaxWarmUp)
	case e.LeavesIn < 0 || e.LeavesIn > MaxDuration:
		return oops.Errorf("endpoint leaves in %s, not 0 to %s", e.LeavesIn, MaxDuration)
	case e.StartedAt < 0 || e.StartedAt > maxStartedAt:
		return oops.Errorf("endpoint has a start time of %d, not 0 to %d", e.StartedAt, int64(maxStartedAt))
	}
	return nil
}

func isName(text string) bool {
	return len(text) <= MaxNameBytes && utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

// ParseAddress returns an endpoint's address, an IP address and port, in its one spelling: endpoints
// are compared by it.
func ParseAddress(text string) (string, error) {
	if len(text) > MaxNameBytes {
		return "", oops.Errorf("address of %d bytes", len(text))
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", oops.Wrapf(err, "address")
	}
	ip := parsed.Addr().Unmap()
	if parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return "", oops.Errorf("address %s can't be connected to", text)
	}
	return netip.AddrPortFrom(ip, parsed.Port()).String(), nil
}
