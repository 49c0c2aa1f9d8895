package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/discovery"
	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/platform"
)

const (
	// gatewayCollection holds an object for each of a few gateways, named by its IP address, through
	// which gateways find each other whose seeds are stale.
	gatewayCollection = "gateways"
	// peerStoreInterval is the interval between two checks whether the collection is to be read.
	peerStoreInterval = 100 * time.Millisecond
	// peerStoreTimeout bounds each call for it.
	peerStoreTimeout = 800 * time.Millisecond
)

// peerStore finds peers through the platform.
type peerStore struct {
	store     platform.Store
	finder    *discovery.Finder
	self      string
	members   *gossip.Members
	introduce func(address string)
	// watching and leaving report this gateway's state.
	watching, leaving func() bool
	log               *logrus.Logger
	// own is the version of this gateway's entry, as last seen; zero if it has none.
	own int64
	// failing is set while the collection can't be read.
	failing bool
}

func (g *Gateway) newPeerStore(exchange *gossip.Gossip, store platform.Store) *peerStore {
	return &peerStore{
		store: store, finder: discovery.NewFinder(g.started, g.settings.Peers.Address, rand.N[time.Duration]), self: g.settings.Peers.Address,
		members: g.members, introduce: exchange.Introduce, watching: g.announces, leaving: g.draining.Load, log: g.log,
	}
}

// Run looks for peers until ctx ends or this gateway leaves.
func (p *peerStore) Run(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, peerStoreInterval) {
		s := p.situation()
		if s.Leaving {
			p.unregister(ctx)
			return
		}
		if p.finder.Due(time.Now(), s) {
			p.look(ctx)
		}
	}
}

func (p *peerStore) situation() discovery.Situation {
	return discovery.Situation{Live: p.members.LiveAddresses(), Watching: p.watching(), Leaving: p.leaving()}
}

// look reads the collection and does what follows.
func (p *peerStore) look(ctx context.Context) {
	entries, err := p.list(ctx)
	now, s := time.Now(), p.situation()
	if err != nil {
		p.finder.Failed(now, s)
		if !p.failing && ctx.Err() == nil {
			p.log.WithFields(logrus.Fields{"event": "gateways_not_read", "live": len(s.Live), "error": err}).Warn("the registered gateways could not be read from the platform; it is tried again")
		}
		p.failing = true
		return
	}
	p.failing = false
	plan := p.finder.Look(now, entries, s)
	if len(plan.Introduce) > 0 || plan.Register {
		p.log.WithFields(logrus.Fields{"event": "gateways_read", "registered": len(entries), "live": len(s.Live), "introduced_to": plan.Introduce, "registers": plan.Register}).Info("looked for peers among the gateways that are registered at the platform")
	}
	for _, address := range plan.Introduce {
		p.introduce(address)
	}
	if plan.Register {
		p.register(ctx)
	}
	for _, e := range plan.Remove {
		p.remove(ctx, e)
	}
}

func (p *peerStore) list(ctx context.Context) ([]discovery.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, peerStoreTimeout)
	defer cancel()
	list, err := p.store.List(ctx, gatewayCollection, "")
	if err != nil {
		return nil, err
	}
	p.own = 0
	return lo.Map(list.Items, func(o platform.Object, _ int) discovery.Entry {
		if o.Name == p.self {
			p.own = o.Version
		}
		return discovery.Entry{Address: o.Name, Version: o.Version}
	}), nil
}

func (p *peerStore) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerStoreTimeout)
	defer cancel()
	o, err := p.store.Create(ctx, platform.Object{Collection: gatewayCollection, Name: p.self, Data: []byte("{}")})
	if err != nil && platform.ReasonOf(err) != platform.Exists {
		p.log.WithFields(logrus.Fields{"event": "gateway_not_registered", "error": err}).Warn("this gateway could not be registered at the platform; it is tried again")
		return
	}
	p.own = o.Version
}

// remove removes the entry of a gateway that has stopped.
func (p *peerStore) remove(ctx context.Context, e discovery.Entry) {
	err := p.delete(ctx, e)
	p.log.WithFields(logrus.Fields{"event": "gateway_removed", "address": e.Address, "error": err}).Info("the entry of a gateway that does not reply was removed from the platform")
}

// unregister removes this gateway's own entry.
func (p *peerStore) unregister(ctx context.Context) {
	if p.own == 0 {
		return
	}
	err := p.delete(ctx, discovery.Entry{Address: p.self, Version: p.own})
	p.log.WithFields(logrus.Fields{"event": "gateway_removed", "address": p.self, "error": err}).Info("this gateway shuts down, and its entry was removed from the platform")
}

func (p *peerStore) delete(ctx context.Context, e discovery.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, peerStoreTimeout)
	defer cancel()
	return p.store.Delete(ctx, gatewayCollection, e.Address, e.Version)
}
