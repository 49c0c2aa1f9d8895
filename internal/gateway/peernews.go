package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/gossip"
)

const (
	// busyTries bounds the peers asked in a row, each named by the one before: at eight
	// a peer, four steps reach thousands.
	busyTries = 4
	// fetchAfter and fetchSpread are when a gateway of a large fleet fetches what it was not
	// told: the news are on their way, and not all ask the same peer at once.
	fetchAfter, fetchSpread = 50 * time.Millisecond, 200 * time.Millisecond
)

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
	// whole is set while the whole list must be asked for.
	whole atomic.Bool

	mu sync.Mutex
	// noticed is the newest that peers were seen to have, and due when it may be fetched.
	noticed known
	due     time.Time
	// waits is set while a fetch waits until due.
	waits bool
}

// Check starts a fetch if a peer knows more and no fetch is running.
func (p *peerNews) Check(ctx context.Context) {
	version, address := p.members.NewestTableVersion()
	if version <= p.holder.Version() {
		version, address = p.members.NewestListVersion()
		p.listing.Confirm(time.Now(), version)
		if !p.listing.Behind(version) {
			return
		}
	}
	if !p.patient(time.Now()) || !p.busy.TryLock() {
		return
	}
	go func() {
		defer p.busy.Unlock()
		if err := p.fetch(ctx, address); err != nil {
			p.log.WithFields(logrus.Fields{"event": "fetch_failed", "peer": address, "version": version, "error": err}).Warn("a peer's news could not be read")
			p.postpone(time.Now())
		}
	}()
}

// fetchFrom asks a peer, or in place of busy ones those that they name; it returns who told.
func (p *peerNews) fetchFrom(ctx context.Context, address string, asked []byte) (data []byte, told string, err error) {
	for range busyTries {
		data, err = p.fetcher.Fetch(ctx, joinPort(address, p.port), asked)
		var busy *gossip.BusyError
		if !errors.As(err, &busy) {
			return data, address, err
		}
		address = busy.Alternatives[rand.IntN(len(busy.Alternatives))]
	}
	return nil, address, err
}

// postpone makes the next fetch wait: the peer may be busy with others that ask.
func (p *peerNews) postpone(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = now.Add(fetchAfter + rand.N(fetchSpread))
}

// patient reports whether what a peer knows may be fetched by now.
func (p *peerNews) patient(now time.Time) bool {
	if p.holder.Table() == nil || !p.members.IsLargeFleet() {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !now.Before(p.due)
	}
	var newest known
	newest.Table, _ = p.members.NewestTableVersion()
	newest.Listing, _ = p.members.NewestListVersion()
	p.mu.Lock()
	defer p.mu.Unlock()
	// What is newer still does not put off a fetch that waits: a list may change all the time.
	if newest != p.noticed && !p.waits {
		p.due, p.waits = now.Add(fetchAfter+rand.N(fetchSpread)), true
	}
	p.noticed = newest
	if now.Before(p.due) {
		return false
	}
	p.waits = false
	return true
}

// Told takes news that a peer told unasked.
func (p *peerNews) Told(data []byte, address string) {
	if err := p.take(data, address); err != nil {
		p.log.WithFields(logrus.Fields{"event": "news_dropped", "peer": address, "error": err}).Warn("a peer's news could not be read")
	}
}

func (p *peerNews) take(data []byte, address string) error {
	data, err := unzipped(data)
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
	if s.Listing > 0 && (s.Full || !p.whole.Load() && s.Since <= p.listing.Number()) {
		p.whole.Store(!p.listing.TakeFromPeer(s.Listing, s.Delta, address))
	}
	return nil
}

func (p *peerNews) fetch(ctx context.Context, address string) error {
	has := known{Table: p.holder.Version(), Listing: p.listing.Number()}
	if p.whole.Load() {
		has.Listing = 0
	}
	asked, err := json.Marshal(has)
	if err != nil {
		return err
	}
	data, address, err := p.fetchFrom(ctx, address, asked)
	if err != nil {
		return err
	}
	return p.take(data, address)
}
