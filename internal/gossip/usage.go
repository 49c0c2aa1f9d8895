package gossip

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosewell/primrosewell/internal/usage"
)

// UsageExchange holds the counts of requests that gateways report to the platform.
type UsageExchange interface {
	// Clock returns a report without counts, and Reports those for the daemons that watch the platform.
	Clock() usage.Report
	Reports() []usage.Report
	// HandleReport merges a report of a peer. It returns the windows for whose counts the peer is to be
	// asked again.
	HandleReport(from usage.Process, report usage.Report) (missing []int64)
}

// sendToWatchers sends the message, which has this daemon's loads, together with its counts of requests.
// What does not fit into the same datagram follows in others: loads must not be left out for it.
func (g *Gossip) sendToWatchers(message Message, to []netip.Addr) {
	if g.Usage == nil || len(to) == 0 {
		g.sendDirect(message, to)
		return
	}
	reports := g.Usage.Reports()
	message.Usage = &reports[0]
	if data, err := cbor.Marshal(message); err == nil && len(data)+protocolBytes <= maxDirectBytes {
		reports = reports[1:]
	} else {
		message.Usage = nil
	}
	g.sendDirect(message, to)
	for _, report := range reports {
		g.sendUsage(report, to)
	}
}

// protocolBytes is the size of the protocol version, which encode adds.
const protocolBytes = 2

// sendUsage sends a report together with this daemon's state: an older daemon takes it for a message about
// the state alone.
func (g *Gossip) sendUsage(report usage.Report, to []netip.Addr) {
	message := g.state()
	message.LoadsOmitted, message.Usage = true, &report
	g.sendDirect(message, to)
}

// clockReport returns a report with this daemon's clock, or nil if usage reports are no duty.
func (g *Gossip) clockReport() *usage.Report {
	if g.Usage == nil {
		return nil
	}
	report := g.Usage.Clock()
	return &report
}

// handleUsage merges the counts of a message and asks the sender for those that were lost.
func (g *Gossip) handleUsage(message Message) {
	if g.Usage == nil || message.Usage == nil || message.Address == g.Address.String() {
		return
	}
	missing := g.Usage.HandleReport(usage.Process{Node: message.Node, Incarnation: message.Incarnation}, *message.Usage)
	if len(missing) > 0 {
		report := g.Usage.Clock()
		report.Missing = missing
		g.sendUsage(report, parseAddresses([]string{message.Address}))
	}
}
