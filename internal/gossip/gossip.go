package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

const (
	// Interval is the time between two messages to a peer.
	Interval = 200 * time.Millisecond
	// fanout bounds the peers told at each interval by a daemon that does not follow the
	// platform, so that its cost does not grow with their number.
	fanout = 12
	// crashesSent bounds the digests passed on in a message.
	crashesSent = 6
	// sumsSent bounds the endpoints in a datagram of sums; an entry takes up to 13 bytes.
	sumsSent = 90
	// knownSent bounds the addresses passed on in a message.
	knownSent = 24
)

// Options configure a Gossip; all fields are required.
type Options struct {
	Node    string
	Address netip.Addr
	// Port is the UDP port of all daemons.
	Port    int
	Members *Members
	// Table returns the version of the own route table.
	Table func() int64
	// Listing returns the number of the own list of endpoints.
	Listing func() int64
	// Following, Blind and Leaving tell the own state; see Message.
	Following, Blind, Leaving func() bool
	// Loads returns the own work at each endpoint.
	Loads func() map[balance.Key]balance.Load
	// Register holds the evidence against requests that crash endpoints; it is shared.
	Register *quarantine.Register
	// OnHeard is called after each message and at each interval.
	OnHeard func(now time.Time)
	Log     *logrus.Logger
}

// Gossip exchanges messages with the other daemons.
type Gossip struct {
	Options
	conn        *net.UDPConn
	incarnation int64
	// turn is the index of the next peer to tell.
	turn int
	// sent is the own work as of the last message.
	sent map[balance.Key]balance.Load
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
	for {
		now := time.Now()
		g.tell(now)
		for _, change := range g.Members.Expire(now) {
			g.logChange(change)
		}
		g.OnHeard(now)
		select {
		case <-ctx.Done():
			_ = g.conn.Close()
			return
		case <-ticker.C:
		}
	}
}

// tell sends the daemon's state to the peers, or to some of them if there are many.
func (g *Gossip) tell(now time.Time) {
	addresses := g.Members.Addresses()
	following := g.Following()
	g.sent = g.Loads()
	g.Members.SetSent(g.sent)
	data, err := encode(Message{
		Node: g.Node, Incarnation: g.incarnation, Address: g.Address.String(), Table: g.Table(), Listing: g.Listing(),
		Following: following, Blind: g.Blind(), Leaving: g.Leaving(),
		Crashes: g.crashes(), Loads: entriesOf(g.sent), Known: someOf(addresses, knownSent),
	})
	if err != nil {
		g.Log.WithFields(logrus.Fields{"event": "gossip_failed", "error": err}).Error("a message could not be encoded")
		return
	}
	if !following {
		g.send(data, g.nextPeers(addresses))
		return
	}
	g.send(data, addresses)
	if len(addresses) > fanout {
		g.tellSums(now, addresses)
	}
}

// tellSums sends the work of all daemons. In a large fleet the others hear of each other
// once in a round only, which is too late to share an endpoint's slots in a burst.
func (g *Gossip) tellSums(now time.Time, addresses []string) {
	sums := g.Members.Elsewhere(now)
	addLoads(sums, g.sent)
	for part := range slices.Chunk(entriesOf(sums), sumsSent) {
		data, err := encode(Message{
			Node: g.Node, Incarnation: g.incarnation, Address: g.Address.String(), Sums: part,
		})
		if err != nil {
			g.Log.WithFields(logrus.Fields{"event": "gossip_failed", "error": err}).Error("a message could not be encoded")
			return
		}
		g.send(data, addresses)
	}
}

func (g *Gossip) send(data []byte, addresses []string) {
	for _, address := range addresses {
		to, err := netip.ParseAddr(address)
		if err != nil {
			continue // An address that a peer passed on; no message comes from it either.
		}
		// A datagram that is not sent is like one that is lost: the next one follows.
		_, _ = g.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, uint16(g.Port)))
	}
}

// nextPeers returns the peers to tell now: those that follow the platform, which sum up
// the work of all, and others in turn, so that all hear within a round.
func (g *Gossip) nextPeers(addresses []string) []string {
	if len(addresses) <= fanout {
		return addresses
	}
	told := g.Members.Following(fanout / 2)
	for range len(addresses) {
		if len(told) == fanout {
			break
		}
		if next := addresses[g.turn%len(addresses)]; !slices.Contains(told, next) {
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
		message, err := decode(buffer[:n])
		if err != nil {
			g.Log.WithFields(logrus.Fields{"event": "gossip_dropped", "from": from, "error": err}).Warn("a datagram could not be read")
			continue
		}
		now := time.Now()
		if len(message.Sums) > 0 {
			g.Members.HeardSums(now, message.Sums)
			g.OnHeard(now)
			continue
		}
		if change, changed := g.Members.Heard(now, message); changed {
			g.logChange(change)
		}
		g.Register.Merge(now, message.Crashes)
		g.OnHeard(now)
	}
}

func (g *Gossip) logChange(c Change) {
	g.Log.WithFields(logrus.Fields{"event": "peer", "peer": c.Node, "address": c.Address, "change": c.What, "silent": c.Silent}).Info("peer " + c.What)
}
