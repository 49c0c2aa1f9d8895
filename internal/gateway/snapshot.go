package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// snapshot is what a gateway tells a peer that the platform does not serve.
type snapshot struct {
	// Table is the platform's object that the table in force was made of.
	Table json.RawMessage `json:"table,omitempty"`
	// Listing is the number of Endpoints; see listing.
	Listing   int64                 `json:"listing"`
	Endpoints []routetable.Endpoint `json:"endpoints"`
	// Lapsed are the ids of the Endpoints that the platform does not list any more and
	// that may still return after an outage.
	Lapsed []string `json:"lapsed,omitempty"`
}

// encodeSnapshot returns the gateway's own snapshot, or nil before there is one.
func (g *Gateway) encodeSnapshot() []byte {
	table := g.holder.Data()
	if table == nil {
		return nil
	}
	// In this order a change meanwhile is at worst in the rows and not in the number.
	s := snapshot{Table: table, Listing: g.listing.Number(), Lapsed: g.directory.Lapsed()}
	s.Endpoints = g.directory.Rows()
	data, err := json.Marshal(s)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "snapshot_failed", "error": err}).Error("the snapshot for peers could not be encoded")
		return nil
	}
	return data
}

// peerNews fetches what a peer knows and this gateway does not: it may be cut off from
// the platform, or its watch may have missed a change.
type peerNews struct {
	holder  *tableHolder
	listing *listing
	members *gossip.Members
	fetcher *gossip.Fetcher
	port    int
	log     *logrus.Logger
	busy    sync.Mutex
}

// Check starts a fetch if a peer knows more and no fetch is running.
func (p *peerNews) Check(ctx context.Context) {
	version, address := p.members.Newest()
	if version <= p.holder.Version() {
		version, address = p.members.NewestListing()
		p.listing.Confirm(time.Now(), version)
		if !p.listing.Behind(version) {
			return
		}
	}
	if !p.busy.TryLock() {
		return
	}
	go func() {
		defer p.busy.Unlock()
		if err := p.fetch(ctx, address); err != nil {
			p.log.WithFields(logrus.Fields{"event": "fetch_failed", "peer": address, "version": version, "error": err}).Warn("a peer's news could not be read")
		}
	}()
}

func (p *peerNews) fetch(ctx context.Context, address string) error {
	data, err := p.fetcher.Fetch(ctx, joinPort(address, p.port))
	if err != nil {
		return err
	}
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	if s.Table != nil {
		p.holder.Install(s.Table, "peer "+address)
	}
	p.listing.TakeFromPeer(s.Listing, s.Endpoints, s.Lapsed, address)
	return nil
}
