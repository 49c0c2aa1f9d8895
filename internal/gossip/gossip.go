package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

const (
	// Interval is the time between two messages to a peer.
	Interval = 200 * time.Millisecond
	// fanout bounds the peers told at each interval, so that the cost of a daemon does
	// not grow with their number.
	fanout = 12
	// crashesSent bounds the digests passed on in a message.
	crashesSent = 6
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
	// Listing returns the platform's version of the own list of endpoints.
	Listing func() int64
	// Loads returns the own work at each endpoint.
	Loads func() map[string]balance.Load
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
		g.tell()
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
func (g *Gossip) tell() {
	addresses := g.Members.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	data, err := encode(Message{
		Node: g.Node, Incarnation: g.incarnation, Address: g.Address.String(), Table: g.Table(), Listing: g.Listing(),
		Crashes: g.crashes(), Loads: g.Loads(), Known: addresses[:min(len(addresses), knownSent)],
	})
	if err != nil {
		g.Log.WithFields(logrus.Fields{"event": "gossip_failed", "error": err}).Error("a message could not be encoded")
		return
	}
	for _, address := range addresses[:min(len(addresses), fanout)] {
		to, err := netip.ParseAddr(address)
		if err != nil {
			continue // An address that a peer passed on; no message comes from it either.
		}
		// A datagram that is not sent is like one that is lost: the next one follows.
		_, _ = g.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, uint16(g.Port)))
	}
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
