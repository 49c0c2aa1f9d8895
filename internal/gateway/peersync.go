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

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/gossip"
)

const (
	// maxPeersTried bounds the peers tried for one fetch. A busy peer names up to eight
	// others, so four steps reach thousands.
	maxPeersTried = 4
	// fetchDelay and fetchJitter bound how long a gateway of a large fleet waits before it
	// fetches newer data: a pushed delta may be on its way, and the jitter keeps gateways
	// from querying the same peer at once.
	fetchDelay, fetchJitter = 50 * time.Millisecond, 200 * time.Millisecond
)

// peerSync fetches newer tables and endpoint lists from peers. This gateway may be cut off
// from the platform, or its watch may have missed a change.
type peerSync struct {
	tableHolder  *tableHolder
	endpointList *endpointList
	members      *gossip.Members
	fetcher      *gossip.Fetcher
	port         int
	// onPeerEra receives the era of the newest list of a peer.
	onPeerEra func(era int64)
	// onFetched receives the size of each snapshot that was fetched; it is optional.
	onFetched func(bytes int)
	log       *logrus.Logger
	fetching  sync.Mutex
	// needFull is set while the full endpoint list must be requested.
	needFull atomic.Bool

	mu sync.Mutex
	// newestSeen holds the newest versions seen at peers, and fetchAt the time from which they
	// may be fetched.
	newestSeen versions
	fetchAt    time.Time
	// fetchPending is set while a fetch is scheduled for fetchAt.
	fetchPending bool
}

// FetchIfBehind starts a fetch if a peer has a newer table or list, the fetch is due and
// none is running.
func (p *peerSync) FetchIfBehind(ctx context.Context) {
	tableVersion, address := p.members.NewestTableVersion()
	listVersion, listAddress := p.members.NewestListVersion()
	p.onPeerEra(listVersion.Era)
	if tableVersion <= p.tableHolder.Version() {
		address = listAddress
		p.endpointList.Confirm(p.members.LastMessage(), listVersion)
		if !p.endpointList.Accepts(listVersion) {
			p.cancelFetch()
			return
		}
	}
	if !p.fetchDue(time.Now()) || !p.fetching.TryLock() {
		return
	}
	go func() {
		defer p.fetching.Unlock()
		if err := p.fetch(ctx, address); err != nil {
			p.log.WithFields(logrus.Fields{"event": "fetch_failed", "peer": address, "table_version": tableVersion, "version": listVersion.Number >> removalBits, "era": listVersion.Era, "error": err}).Warn("a peer's snapshot could not be fetched")
			p.delayFetch(time.Now())
		}
	}()
}

// fetchFrom fetches a snapshot from a peer, or, if that is busy, from one of the peers that
// it names. It returns the snapshot and the address of the peer that sent it.
func (p *peerSync) fetchFrom(ctx context.Context, address string, request []byte) (data []byte, source string, err error) {
	for range maxPeersTried {
		data, err = p.fetcher.Fetch(ctx, joinPort(address, p.port), request)
		var busy *gossip.BusyError
		if !errors.As(err, &busy) {
			return data, address, err
		}
		address = busy.Alternatives[rand.IntN(len(busy.Alternatives))]
	}
	return nil, address, err
}

// delayFetch postpones the next fetch: the peer may be busy serving others.
func (p *peerSync) delayFetch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetchAt = now.Add(fetchDelay + rand.N(fetchJitter))
}

// cancelFetch drops a scheduled fetch, since a delta has brought what it was for. The next newer
// versions are then given time for their delta, too.
func (p *peerSync) cancelFetch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetchPending = false
}

// fetchDue reports whether a fetch may start now.
func (p *peerSync) fetchDue(now time.Time) bool {
	if p.tableHolder.Table() == nil || !p.members.IsLargeFleet() {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !now.Before(p.fetchAt)
	}
	tableVersion, _ := p.members.NewestTableVersion()
	listVersion, _ := p.members.NewestListVersion()
	newest := newVersions(tableVersion, listVersion)
	p.mu.Lock()
	defer p.mu.Unlock()
	// Even newer versions don't postpone a scheduled fetch: a list may change continuously.
	if newest != p.newestSeen && !p.fetchPending {
		p.fetchAt, p.fetchPending = now.Add(fetchDelay+rand.N(fetchJitter)), true
	}
	p.newestSeen = newest
	if now.Before(p.fetchAt) {
		return false
	}
	p.fetchPending = false
	return true
}

// ReceiveDelta applies a delta that a peer pushed.
func (p *peerSync) ReceiveDelta(data []byte, address string) {
	if err := p.apply(data, address); err != nil {
		p.log.WithFields(logrus.Fields{"event": "news_dropped", "peer": address, "error": err}).Warn("a peer's pushed delta could not be read")
	}
}

func (p *peerSync) apply(data []byte, address string) error {
	data, err := decompress(data)
	if err != nil {
		return err
	}
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	if s.Table != nil {
		p.tableHolder.Install(s.Table, "peer "+address)
	}
	if s.ListNumber > 0 && (s.Full || !p.needFull.Load() && p.appliesHere(s)) {
		p.needFull.Store(!p.endpointList.ApplyPeerDelta(s.listVersion(), s.Delta, address))
	}
	return nil
}

// appliesHere reports whether the delta of a snapshot applies to the list of this gateway.
func (p *peerSync) appliesHere(s snapshot) bool {
	base := directory.Version{Era: s.ListEra, Number: s.Since}
	held := p.endpointList.Version()
	return base.SameEra(held) && !base.After(held)
}

func (p *peerSync) fetch(ctx context.Context, address string) error {
	held := newVersions(p.tableHolder.Version(), p.endpointList.Version())
	if p.needFull.Load() {
		held.ListNumber = 0
	}
	request, err := json.Marshal(held)
	if err != nil {
		return err
	}
	data, address, err := p.fetchFrom(ctx, address, request)
	if err != nil {
		return err
	}
	if p.onFetched != nil {
		p.onFetched(len(data))
	}
	return p.apply(data, address)
}
