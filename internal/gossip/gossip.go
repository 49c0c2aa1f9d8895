package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// Interval is the time between two periodic messages.
	Interval = 200 * time.Millisecond
	// maxDirectPeers is the number of peers up to which a daemon sends to all of them at each
	// interval. A fleet with more peers is a large fleet.
	maxDirectPeers = 12
	// maxWatcherTargets bounds the watchers to which each daemon reports its load: there are
	// more than four watchers only while others take the role over from them. Of four and four,
	// at least two that have aggregated before are among them.
	maxWatcherTargets = 6
	// resignationBroadcasts is the number of messages in which a watcher of a large fleet tells all
	// that it has given up the role; one may be lost.
	resignationBroadcasts = 2
	// peersPerInterval is the number of other peers to which a daemon of a large fleet that
	// does not watch the platform sends at each interval. It is small because traffic
	// between data centres is expensive, and changes are sent by the watchers.
	peersPerInterval = 3
	// maxAggregatedEntries bounds the endpoints in a datagram of aggregated loads; an entry
	// takes up to 13 bytes.
	maxAggregatedEntries = 80
	// maxKnownDirect bounds the peer addresses in a message that is sent directly, and
	// maxKnownBroadcast in one that is broadcast through relays.
	maxKnownDirect, maxKnownBroadcast = 24, 6
	// maxIntroductionsPerInterval bounds the introductions to peers that were found within an
	// interval. When a whole fleet restarts, each daemon finds each other one, and introductions
	// would grow with the square of the fleet. Peers that know up to maxSeedsOfNewcomer daemons are
	// not counted: they have just started, and would take over the watcher role without a reply.
	maxIntroductionsPerInterval, maxSeedsOfNewcomer = 16, 8
	// changeDelay is the minimum time between a change and the message that announces it. It
	// batches changes: a list whose endpoints are all replaced changes hundreds of times a
	// second.
	changeDelay = 40 * time.Millisecond
	// maxWatcherMessagesPerSecond bounds the messages that a watcher receives from all other
	// daemons: in a larger fleet, each daemon sends to the watchers less often.
	maxWatcherMessagesPerSecond = 1000
)

// Options configure a Gossip; all fields are required unless they say otherwise.
type Options struct {
	Node    string
	Address netip.Addr
	// DataCentre is the daemon's data centre.
	DataCentre string
	// Port is the UDP port of all daemons.
	Port    int
	Members *Members
	// CutOff reports whether nothing may be exchanged with the daemon at an address.
	CutOff func(address netip.Addr) bool
	// TableVersion returns the version of this daemon's route table.
	TableVersion func() int64
	// ListVersion returns the version of this daemon's endpoint list.
	ListVersion func() directory.Version
	// Watching, PlatformUnreachable and Leaving report this daemon's state; see Message. Watching
	// is Members.Announces or agrees with it.
	Watching, PlatformUnreachable, Leaving func() bool
	// Loads returns this daemon's own load at each endpoint.
	Loads func() map[balance.EndpointKey]balance.Load
	// Contents and Parts hold the evidence against requests and against parts of prompts that crash
	// endpoints; they are shared with the rest of the daemon.
	Contents, Parts *parts.Ledger
	// LimitEnds holds the limits of endpoints that ended lately; it is shared with the rest of the daemon.
	LimitEnds *balance.LimitEnds
	// BrittleNews returns the brittle endpoints of which this daemon knows by its own responses, and
	// OnBrittleNews receives those of others.
	BrittleNews   func(now time.Time) []balance.BrittleNews
	OnBrittleNews func(now time.Time, news []balance.BrittleNews)
	// Streams remembers where streams began; it is shared with the rest of the daemon.
	Streams StreamTracker
	// Usage holds the counts of requests, or is nil if usage reports are no duty.
	Usage UsageExchange
	// Delta returns the recent changes for peers that were up to date shortly before, or nil
	// if there are none. In a large fleet, a watcher calls it at each interval and on each
	// change.
	Delta func() []byte
	// OnDelta receives a delta and the address of the peer that sent it.
	OnDelta func(data []byte, address string)
	// Changed makes the daemon send to its peers before the next interval.
	Changed <-chan struct{}
	// OnUpdate is called after each message and at each interval. newer reports that a peer
	// may have a newer route table or endpoint list.
	OnUpdate func(now time.Time, newer bool)
	// OnSent is called for each datagram with its size. It is optional.
	OnSent func(kind Kind, bytes int)
	Log    *logrus.Logger
}

// Gossip exchanges messages with the other daemons.
type Gossip struct {
	Options
	conn *net.UDPConn
	// transmit sends a datagram to the daemon at an address.
	transmit    func(data []byte, to netip.Addr)
	incarnation int64
	// nextPeer is the index of the next peer to send to.
	nextPeer int
	// sentLoads are this daemon's own loads as of the last message.
	sentLoads map[balance.EndpointKey]balance.Load
	// published counts the published messages; see intervalsPerWatcherMessage.
	published int
	// introductions counts the introductions to peers that were found since the last interval. It
	// is used by both goroutines.
	introductions atomic.Int32
	// resignations is the number of broadcasts left that tell all that this daemon has given up
	// the watcher role.
	resignations int
	// contentsSentAt and partsSentAt are when evidence was last sent.
	contentsSentAt, partsSentAt time.Time
	// limitEndsSentAt is when the ends of limits were last sent, and brittleSentAt when brittle endpoints
	// were.
	limitEndsSentAt, brittleSentAt time.Time
	// deltaSequence is the sequence number of the last delta sent.
	deltaSequence uint32
	// reassembler is used by the receiving goroutine only.
	reassembler reassembler
	// refusals bounds the lines on datagrams that can't be read, a key for each sender.
	refusals telemetry.LineLimit
}

// Listen opens the UDP socket.
func Listen(options Options) (*Gossip, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: options.Address.AsSlice(), Port: options.Port})
	if err != nil {
		return nil, err
	}
	g := &Gossip{Options: options, conn: conn, incarnation: time.Now().UnixNano()}
	g.transmit = func(data []byte, to netip.Addr) {
		// A datagram that can't be sent is like a lost one: the next message makes up for it.
		_, _ = conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, uint16(options.Port)))
	}
	return g, nil
}

// Incarnation identifies this process in its messages.
func (g *Gossip) Incarnation() int64 { return g.incarnation }

// Run exchanges messages until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive(ctx)
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	changed := false
	for {
		now := time.Now()
		g.publish(g.state(), now, changed)
		for _, change := range g.Members.Expire(now) {
			g.logChange(change)
		}
		g.OnUpdate(now, true)
		select {
		case <-ctx.Done():
			_ = g.conn.Close()
			return
		case <-ticker.C:
			changed = false
		case <-g.Changed:
			time.Sleep(changeDelay) // Changes within this time are announced together.
			changed = true
		}
	}
}

// publish sends this daemon's state. In a small fleet it goes to all peers. In a large fleet
// a watcher broadcasts it to all through relays, and any other daemon sends its loads to the
// watchers and a short message to a few peers. changed marks a message between two
// intervals, for which a watcher leaves out the loads.
func (g *Gossip) publish(message Message, now time.Time, changed bool) {
	addresses, heard := g.Members.Addresses(), g.Members.HeardAddresses(now)
	g.published++
	if !changed {
		g.introductions.Store(0)
	}
	g.sentLoads = g.Loads()
	g.Members.SetSentLoads(g.sentLoads)
	large := len(addresses) > maxDirectPeers
	message.Loads, message.KnownAddresses = entriesOf(g.sentLoads), sampleOf(heard, maxKnownDirect)
	watchers := g.Members.Watchers(maxWatcherTargets)
	switch {
	case !large:
		g.sendToWatchers(message, parseAddresses(addresses)) // They are among all.
	case !message.Watching:
		g.broadcastResignation(message)
		if g.published%intervalsPerWatcherMessage(len(addresses)) == 0 {
			message.KnownAddresses = nil // Watchers know all daemons from their messages.
			g.sendToWatchers(message, parseAddresses(watchers))
		}
		message.LoadsOmitted, message.Loads, message.KnownAddresses = true, nil, sampleOf(heard, maxKnownBroadcast)
		g.sendDirect(message, parseAddresses(g.nextPeers(addresses, watchers)))
	default:
		g.resignations = resignationBroadcasts
		g.broadcastDelta()
		if changed && g.Members.HandsOver() {
			break // Those that take over send what has changed.
		}
		if !changed {
			message.KnownAddresses = nil
			g.sendToWatchers(message, parseAddresses(watchers)) // The other watchers include these loads in their totals.
			g.broadcastAggregatedLoads(now)
		}
		message.LoadsOmitted, message.Loads, message.KnownAddresses = true, nil, sampleOf(heard, maxKnownBroadcast)
		message.Usage = g.clockReport()
		g.broadcast(message)
	}
	g.publishEvidence(now, addresses, watchers)
	g.publishLimitEnds(now, addresses, watchers)
	g.publishBrittle(now, addresses, watchers)
}

// broadcastResignation tells all daemons that this one no longer watches the platform. Without it
// they would report their loads to it until its silence makes it count as lost.
func (g *Gossip) broadcastResignation(message Message) {
	if g.resignations == 0 {
		return
	}
	g.resignations--
	message.LoadsOmitted, message.Loads, message.KnownAddresses = true, nil, nil
	g.broadcast(message)
}

// state returns a message with this daemon's versions and roles, without loads.
func (g *Gossip) state() Message {
	list := g.ListVersion()
	m := Message{
		Node: g.Node, Incarnation: g.incarnation, Address: g.Address.String(), TableVersion: g.TableVersion(), ListNumber: list.Number, ListEra: list.Era,
		Watching: g.Watching(), PlatformUnreachable: g.PlatformUnreachable(), Leaving: g.Leaving(),
		DataCentre: g.DataCentre, DaemonCount: g.Members.ObservedCount(time.Now()), Carries: true,
	}
	if m.Watching {
		m.SpreadNumber = g.Members.ObservedSpread(time.Now(), list).Number
	}
	m.WatcherCount, m.AnnouncedCount = g.Members.CountWatchers(m.Watching && !m.Leaving, m.PlatformUnreachable)
	return m
}

// introduce sends a peer that was just found this daemon's state and the addresses of other
// daemons, of which the peer may know few.
func (g *Gossip) introduce(address string) {
	message := g.state()
	message.LoadsOmitted, message.KnownAddresses = true, sampleOf(g.Members.HeardAddresses(time.Now()), maxKnownDirect)
	message.WatcherAddresses = g.Members.Watchers(maxWatcherTargets)
	g.sendDirect(message, parseAddresses([]string{address}))
}

// Introduce sends this daemon's state to an address at which another daemon may run. It becomes a peer
// when it replies.
func (g *Gossip) Introduce(address string) { g.introduce(address) }

// broadcastDelta sends the recent changes ahead of the message that announces the new
// versions, so that a peer with all parts of the delta has nothing to fetch.
func (g *Gossip) broadcastDelta() {
	data := g.Delta()
	if data == nil || g.Members.HandsOver() {
		return
	}
	g.deltaSequence++
	for _, part := range splitDelta(g.deltaSequence, data) {
		g.broadcast(Message{Node: g.Node, Incarnation: g.incarnation, Address: g.Address.String(), DeltaParts: []DeltaPart{part}})
	}
}

// broadcastAggregatedLoads sends the total load of all daemons. In a large fleet the other
// daemons receive each other's messages only once per full round, which is too late to
// share an endpoint's slots in a burst.
func (g *Gossip) broadcastAggregatedLoads(now time.Time) {
	if !g.Members.Aggregates(now) {
		return
	}
	totals := g.Members.ReportedLoads(now)
	addLoads(totals, g.sentLoads)
	for part := range slices.Chunk(entriesOf(totals), maxAggregatedEntries) {
		g.broadcast(Message{Node: g.Node, Incarnation: g.incarnation, Address: g.Address.String(), AggregatedLoads: part})
	}
}

// sendDirect sends the message to each of the peers without relays.
func (g *Gossip) sendDirect(message Message, to []netip.Addr) {
	g.sendHops(message, maxDirectBytes, lo.Map(to, func(a netip.Addr, _ int) relayHop { return relayHop{to: a} }))
}

// broadcast sends the message to all peers through relays.
func (g *Gossip) broadcast(message Message) {
	g.sendHops(message, maxBroadcastBytes, planRelays(g.Members.broadcastTargets(), rand.Perm))
}

func (g *Gossip) sendHops(message Message, maxBytes int, plan []relayHop) {
	body, err := encode(message, maxBytes)
	if err != nil {
		g.Log.WithFields(logrus.Fields{"event": "gossip_failed", "error": err}).Error("a message could not be encoded")
		return
	}
	kind := message.kind()
	for _, hop := range plan {
		g.write(body, hop, kind)
	}
}

func (g *Gossip) write(body []byte, hop relayHop, kind Kind) {
	if g.CutOff(hop.to) {
		return
	}
	data, err := encodeEnvelope(body, hop.forwardTo)
	if err != nil {
		g.Log.WithFields(logrus.Fields{"event": "gossip_failed", "error": err}).Error("an envelope could not be encoded")
		return
	}
	if g.OnSent != nil {
		g.OnSent(kind, len(data))
	}
	g.transmit(data, hop.to)
}

// forward sends a message on to the addresses that its sender listed. Only known peers may
// use this daemon as a relay.
func (g *Gossip) forward(body []byte, from netip.Addr, forwardTo []netip.Addr) {
	if len(forwardTo) == 0 || !g.Members.Has(from.String()) {
		return
	}
	for _, to := range forwardTo {
		g.write(body, relayHop{to: to}, KindRelayed)
	}
}

// nextPeers returns the next few peers in turn, so that every peer is covered once per full
// round. Watchers are left out; they are sent to separately.
func (g *Gossip) nextPeers(addresses, watchers []string) []string {
	var selected []string
	for range len(addresses) {
		if len(selected) == peersPerInterval {
			break
		}
		if next := addresses[g.nextPeer%len(addresses)]; !slices.Contains(watchers, next) {
			selected = append(selected, next)
		}
		g.nextPeer++
	}
	return selected
}

// sampleOf returns up to n of the addresses, chosen at random.
func sampleOf(addresses []string, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	some := make([]string, 0, n)
	for _, i := range rand.Perm(len(addresses))[:n] {
		some = append(some, addresses[i])
	}
	return some
}

func (g *Gossip) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error for an earlier datagram: no daemon listens there yet.
		}
		g.handleDatagram(from, buffer[:n])
	}
}

// handleDatagram forwards and processes a received datagram.
func (g *Gossip) handleDatagram(from netip.AddrPort, data []byte) {
	if g.CutOff(from.Addr()) {
		return
	}
	body, forwardTo, err := decodeEnvelope(data)
	if err != nil {
		g.logDropped(from, err)
		return
	}
	g.forward(body, from.Addr().Unmap(), forwardTo)
	message, err := decode(body)
	if err != nil {
		g.logDropped(from, err)
		return
	}
	g.handleMessage(time.Now(), message)
}

func (g *Gossip) logDropped(from netip.AddrPort, err error) {
	if withheld, allowed := g.refusals.Allow(time.Now(), from.Addr().String()); allowed {
		g.Log.WithFields(logrus.Fields{"event": "gossip_dropped", "from": from, "withheld": withheld, "error": telemetry.Shorten(err.Error())}).Warn("a datagram could not be read")
	}
}

// handleMessage processes a received message.
func (g *Gossip) handleMessage(now time.Time, message Message) {
	g.handleUsage(message)
	if g.handleStreams(now, message) {
		return
	}
	if g.mergeEvidence(now, message) {
		return
	}
	if len(message.BrittleNews) > 0 {
		g.OnBrittleNews(now, message.BrittleNews)
		return
	}
	if len(message.LimitEnds) > 0 {
		g.LimitEnds.Merge(now, message.LimitEnds)
		return
	}
	switch {
	case len(message.AggregatedLoads) > 0:
		g.Members.StoreAggregatedLoads(now, message.AggregatedLoads)
	case len(message.DeltaParts) > 0:
		for _, part := range message.DeltaParts {
			if data := g.reassembler.add(message.Address, part); data != nil {
				g.OnDelta(data, message.Address)
			}
		}
	default:
		if change, changed := g.Members.HandleMessage(now, message); changed {
			g.reassembler.forget(message.Address)
			g.logChange(change)
			if max(message.WatcherCount, message.AnnouncedCount) < targetWatchers && (message.DaemonCount <= maxSeedsOfNewcomer || g.introductions.Add(1) <= maxIntroductionsPerInterval) {
				g.introduce(message.Address)
			}
		}
		for _, address := range g.Members.AddWatchers(now, message.WatcherAddresses) {
			g.introduce(address)
		}
	}
	g.OnUpdate(now, message.TableVersion > g.TableVersion() || message.listVersion().After(g.ListVersion()))
}

func (g *Gossip) logChange(c Change) {
	g.Log.WithFields(logrus.Fields{"event": "peer", "peer": c.Node, "address": c.Address, "change": c.Kind, "silent": c.SilentFor}).Info("peer " + c.Kind)
}
