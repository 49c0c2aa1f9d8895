package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

const (
	// Interval is the time between two messages to a peer.
	Interval = 200 * time.Millisecond
	// fanout is the number of peers up to which each daemon tells all others at each interval.
	fanout = 12
	// followersTold bounds those that follow the platform and are told of each daemon's work:
	// more than four do only while some of them can't read it.
	followersTold = 6
	// othersTold is the number of peers told at each interval by a daemon of a larger fleet
	// that does not follow the platform, besides those that do: bytes between data centres
	// are dear, and it is these that tell the news.
	othersTold = 3
	// crashesSent bounds the digests passed on in a message.
	crashesSent = 6
	// sumsSent bounds the endpoints in a datagram of sums; an entry takes up to 13 bytes.
	sumsSent = 80
	// knownSent bounds the addresses passed on in a message, and knownSpread in one that is
	// spread by way of relays.
	knownSent, knownSpread = 24, 6
	// changePause is the least time between a change and the message that tells it; a list
	// of endpoints that are all replaced changes hundreds of times a second.
	changePause = 40 * time.Millisecond
	// inboxPerSecond bounds the messages that a daemon which follows the platform gets from
	// all others: in a larger fleet they tell it less often.
	inboxPerSecond = 1000
)

// Options configure a Gossip; all fields are required.
type Options struct {
	Node    string
	Address netip.Addr
	// DataCentre is where the daemon is.
	DataCentre string
	// Port is the UDP port of all daemons.
	Port    int
	Members *Members
	// Table returns the version of the own route table.
	TableVersion func() int64
	// Listing returns the number of the own list of endpoints.
	ListVersion func() int64
	// Following, Blind and Leaving tell the own state; see Message.
	Watching, PlatformUnreachable, Leaving func() bool
	// Loads returns the own work at each endpoint.
	Loads func() map[balance.EndpointKey]balance.Load
	// Register holds the evidence against requests that crash endpoints; it is shared.
	Register *quarantine.Register
	// News returns what changed lately, for peers that were up to date a moment ago; nil if
	// nothing did. It is asked at each interval in a large fleet, by who follows the platform.
	Delta func() []byte
	// OnNews takes the news of the peer of that address.
	OnDelta func(data []byte, address string)
	// Changed makes the daemon tell its peers at once.
	Changed <-chan struct{}
	// OnHeard is called after each message and at each interval; newer tells that a peer's
	// table or list is newer than the own.
	OnUpdate func(now time.Time, newer bool)
	Log      *logrus.Logger
}

// Gossip exchanges messages with the other daemons.
type Gossip struct {
	Options
	conn        *net.UDPConn
	incarnation int64
	// turn is the index of the next peer to tell.
	turn int
	// sent is the own work as of the last message.
	sent map[balance.EndpointKey]balance.Load
	// told counts the intervals.
	told int
	// newsNumber counts the news that were told.
	newsNumber uint32
	// inbox is used by the receiver alone.
	inbox inbox
}

// Listen opens the socket.
func Listen(options Options) (*Gossip, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: options.Address.AsSlice(), Port: options.Port})
	if err != nil {
		return nil, err
	}
	return &Gossip{Options: options, conn: conn, incarnation: time.Now().UnixNano()}, nil
}

// Run exchanges messages until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive(ctx)
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	changed := false
	for {
		now := time.Now()
		g.tell(g.state(), now, changed)
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
			time.Sleep(changePause) // What changes together is told together.
			changed = true
		}
	}
}

// tell sends the daemon's state to the peers, or to some of them if there are many. Who
// follows the platform tells all: in a large fleet by way of relays. Between two intervals
// only what changed is told there.
func (g *Gossip) tell(message Message, now time.Time, changed bool) {
	addresses := g.Members.Addresses()
	g.told++
	g.sent = g.Loads()
	g.Members.SetSent(g.sent)
	large := len(addresses) > fanout
	message.Crashes, message.Loads, message.Known = g.crashes(), entriesOf(g.sent), someOf(addresses, knownSent)
	following := g.Members.Following(followersTold)
	switch {
	case !large:
		g.send(message, parseAddresses(addresses))
	case !message.Following:
		if g.told%followerPace(len(addresses)) == 0 {
			message.Known = nil // They hear of everybody.
			g.send(message, parseAddresses(following))
		}
		message.Brief, message.Loads, message.Known = true, nil, someOf(addresses, knownSpread)
		g.send(message, parseAddresses(g.nextPeers(addresses, following)))
	default:
		g.spreadNews()
		if !changed {
			message.Known = nil
			g.send(message, parseAddresses(following)) // They sum up the work of each other too.
			g.spreadSums(now)
		}
		message.Brief, message.Loads, message.Known = true, nil, someOf(addresses, knownSpread)
		g.spread(message)
	}
}

// state is a message of what the daemon has and does.
func (g *Gossip) state() Message {
	m := Message{
		Node: g.Node, Incarnation: g.incarnation, Address: g.Address.String(), TableVersion: g.TableVersion(), ListVersion: g.ListVersion(),
		Following: g.Watching(), Blind: g.PlatformUnreachable(), Leaving: g.Leaving(),
		DataCentre: g.DataCentre, Counted: g.Members.CountHeard(time.Now()),
	}
	m.Followed = g.Members.Followed(m.Following && !m.Blind && !m.Leaving)
	return m
}

// greet answers a daemon that was just found and knows few others yet.
func (g *Gossip) greet(address string) {
	message := g.state()
	message.Brief, message.Known = true, g.Members.Some(knownSent)
	message.Followers = g.Members.Following(followersTold)
	g.send(message, parseAddresses([]string{address}))
}

// spreadNews tells what changed lately, before the message that tells of newer versions:
// who has the news then needs to fetch nothing.
func (g *Gossip) spreadNews() {
	data := g.Delta()
	if data == nil {
		return
	}
	g.newsNumber++
	for _, part := range newsParts(g.newsNumber, data) {
		g.spread(Message{Node: g.Node, Incarnation: g.incarnation, Address: g.Address.String(), News: []NewsPart{part}})
	}
}

// spreadSums tells the work of all daemons. In a large fleet the others hear of each other
// once in a round only, which is too late to share an endpoint's slots in a burst.
func (g *Gossip) spreadSums(now time.Time) {
	if !g.Members.SumsUp(now) {
		return
	}
	sums := g.Members.Elsewhere(now)
	addLoads(sums, g.sent)
	for part := range slices.Chunk(entriesOf(sums), sumsSent) {
		g.spread(Message{Node: g.Node, Incarnation: g.incarnation, Address: g.Address.String(), Sums: part})
	}
}

// send tells each of the peers itself.
func (g *Gossip) send(message Message, to []netip.Addr) {
	g.sendLegs(message, maxMessage, lo.Map(to, func(a netip.Addr, _ int) leg { return leg{to: a} }))
}

// spread tells all, by way of relays.
func (g *Gossip) spread(message Message) {
	g.sendLegs(message, maxSpread, legs(g.Members.places(), rand.Perm))
}

func (g *Gossip) sendLegs(message Message, most int, plan []leg) {
	body, err := encode(message, most)
	if err != nil {
		g.Log.WithFields(logrus.Fields{"event": "gossip_failed", "error": err}).Error("a message could not be encoded")
		return
	}
	for _, l := range plan {
		g.write(body, l)
	}
}

func (g *Gossip) write(body []byte, l leg) {
	data, err := encodeEnvelope(body, l.relay)
	if err != nil {
		g.Log.WithFields(logrus.Fields{"event": "gossip_failed", "error": err}).Error("an envelope could not be encoded")
		return
	}
	// A datagram that is not sent is like one that is lost: the next one follows.
	_, _ = g.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(l.to, uint16(g.Port)))
}

// pass passes a message on to those that its sender named. Only peers may ask for that.
func (g *Gossip) pass(body []byte, from netip.Addr, relay []netip.Addr) {
	if len(relay) == 0 || !g.Members.Has(from.String()) {
		return
	}
	for _, to := range relay {
		g.write(body, leg{to: to})
	}
}

// nextPeers returns some peers to tell now, others each time, so that all hear within a
// round. Those in following are told apart.
func (g *Gossip) nextPeers(addresses, following []string) []string {
	var told []string
	for range len(addresses) {
		if len(told) == othersTold {
			break
		}
		if next := addresses[g.turn%len(addresses)]; !slices.Contains(following, next) {
			told = append(told, next)
		}
		g.turn++
	}
	return told
}

// someOf returns up to n of the addresses, other ones each time.
func someOf(addresses []string, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	some := make([]string, 0, n)
	for _, i := range rand.Perm(len(addresses))[:n] {
		some = append(some, addresses[i])
	}
	return some
}

// crashes returns the latest evidence, as much as fits beside the rest.
func (g *Gossip) crashes() []quarantine.Entry {
	entries := g.Register.Entries(time.Now())
	return entries[max(0, len(entries)-crashesSent):]
}

func (g *Gossip) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error of an earlier datagram: its peer is not there yet.
		}
		body, relay, err := decodeEnvelope(buffer[:n])
		if err != nil {
			g.drop(from, err)
			continue
		}
		g.pass(body, from.Addr().Unmap(), relay)
		message, err := decode(body)
		if err != nil {
			g.drop(from, err)
			continue
		}
		g.take(time.Now(), message)
	}
}

func (g *Gossip) drop(from netip.AddrPort, err error) {
	g.Log.WithFields(logrus.Fields{"event": "gossip_dropped", "from": from, "error": err}).Warn("a datagram could not be read")
}

// take notes what a message tells.
func (g *Gossip) take(now time.Time, message Message) {
	switch {
	case len(message.Sums) > 0:
		g.Members.HeardSums(now, message.Sums)
	case len(message.News) > 0:
		for _, part := range message.News {
			if data := g.inbox.add(message.Address, part); data != nil {
				g.OnDelta(data, message.Address)
			}
		}
	default:
		if change, changed := g.Members.HandleMessage(now, message); changed {
			g.inbox.forget(message.Address)
			g.logChange(change)
			if message.Followed < followers {
				g.greet(message.Address)
			}
		}
		for _, address := range g.Members.Named(now, message.Followers) {
			g.greet(address)
		}
		g.Register.Merge(now, message.Crashes)
	}
	g.OnUpdate(now, message.TableVersion > g.TableVersion() || message.ListVersion > g.ListVersion())
}

func (g *Gossip) logChange(c Change) {
	g.Log.WithFields(logrus.Fields{"event": "peer", "peer": c.Node, "address": c.Address, "change": c.What, "silent": c.Silent}).Info("peer " + c.What)
}
