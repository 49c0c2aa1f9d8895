package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/gossip"
)

// zippedOver is the size from which a snapshot is compressed; a whole one is, once for all
// that ask for it.
const zippedOver = 16 << 10

// toldOver is the size from which news that are told unasked are compressed: those that
// fit one datagram are not.
const toldOver = 1 << 10

// maxUnzipped bounds a snapshot that was compressed.
const maxUnzipped = 32 << 20

// known is what a gateway that asks for news has already.
type known struct {
	Table int64 `json:"table"`
	// Listing is the number of its list of endpoints, or 0 to ask for the whole.
	Listing int64 `json:"listing"`
}

// snapshot is what a gateway tells a peer that the platform does not serve.
type snapshot struct {
	// Table is the platform's object that the table in force was made of, if it is newer
	// than the peer's.
	Table json.RawMessage `json:"table,omitempty"`
	// Listing is the number of the list that the news lead to; see listing. 0: no news of it.
	Listing int64 `json:"listing,omitempty"`
	// Since is the number of the list that the news build on, unless they are the whole.
	Since int64 `json:"since,omitempty"`
	directory.News
}

const (
	// newsSpan is how far back the news go that are told unasked: a few messages may be lost.
	newsSpan = 3 * gossip.Interval
	// busyTries bounds the peers asked in a row, each named by the one before: at eight
	// a peer, four steps reach thousands.
	busyTries = 4
	// fetchAfter and fetchSpread are when a gateway of a large fleet fetches what it was not
	// told: the news are on their way, and not all ask the same peer at once.
	fetchAfter, fetchSpread = 50 * time.Millisecond, 200 * time.Millisecond
)

// teller encodes snapshots for peers. It is safe for concurrent use.
type teller struct {
	holder  *tableHolder
	listing *listing
	log     *logrus.Logger

	mu sync.Mutex
	// whole is the last snapshot that held all, made of that table and list.
	whole   []byte
	madeOf  known
	changes uint64
	// past is what the gateway had, the latest last.
	past []hadAt
}

// hadAt is what a gateway had at some time.
type hadAt struct {
	known
	at time.Time
}

// Recent returns what changed within newsSpan, or nil. It is called now and then.
func (t *teller) Recent(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	has := known{Table: t.holder.Version(), Listing: t.listing.Number()}
	t.past = append(t.past, hadAt{has, now})
	for len(t.past) > 1 && now.Sub(t.past[1].at) >= newsSpan {
		t.past = t.past[1:]
	}
	had := t.past[0]
	if had.known == has || had.Table == 0 || now.Sub(had.at) < newsSpan {
		return nil
	}
	var s snapshot
	if has.Table > had.Table {
		s.Table = t.holder.Data()
	}
	if has.Listing > had.Listing {
		s.Listing, s.Since, s.News = has.Listing, had.Listing, t.listing.directory.NewsSince(had.Listing)
	}
	if s.Whole {
		s.Listing, s.News = 0, directory.News{}
	}
	return t.encode(s, toldOver)
}

// Tell returns the gateway's news for a peer that has asked, or nil before there are any.
func (t *teller) Tell(asked []byte) []byte {
	table := t.holder.Data()
	if table == nil {
		return nil
	}
	var has known
	if len(asked) > 0 {
		if err := json.Unmarshal(asked, &has); err != nil {
			t.log.WithFields(logrus.Fields{"event": "snapshot_failed", "error": err}).Warn("a peer's question could not be read; it is told all")
		}
	}
	if has == (known{}) {
		return t.tellAll(table)
	}
	// In this order a change meanwhile is at worst in the news and not in the number.
	s := snapshot{Listing: t.listing.Number(), Since: has.Listing}
	s.News = t.listing.directory.NewsSince(has.Listing)
	if t.holder.Version() > has.Table {
		s.Table = table
	}
	return t.encode(s, zippedOver)
}

// tellAll returns the whole, which is encoded once for all peers that ask: many do at
// once when a fleet starts.
func (t *teller) tellAll(table []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	madeOf, changes := known{Table: t.holder.Version(), Listing: t.listing.Number()}, t.listing.directory.Version()
	if t.whole != nil && madeOf == t.madeOf && changes == t.changes {
		return t.whole
	}
	t.whole = t.encode(snapshot{Table: table, Listing: madeOf.Listing, News: t.listing.directory.NewsSince(0)}, zippedOver)
	t.madeOf, t.changes = madeOf, changes
	return t.whole
}

func (t *teller) encode(s snapshot, zipOver int) []byte {
	data, err := json.Marshal(s)
	if err == nil && len(data) > zipOver {
		data, err = zipped(data)
	}
	if err != nil {
		t.log.WithFields(logrus.Fields{"event": "snapshot_failed", "error": err}).Error("the snapshot for peers could not be encoded")
		return nil
	}
	return data
}

// zipped and unzipped tell compressed data by its first bytes, which no JSON has.
func zipped(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unzipped(data []byte) ([]byte, error) {
	if len(data) < 2 || data[0] != 0x1f || data[1] != 0x8b {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUnzipped))
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
	// whole is set while the whole list must be asked for.
	whole atomic.Bool

	mu sync.Mutex
	// noticed is the newest that peers were seen to have, and due when it may be fetched.
	noticed known
	due     time.Time
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
		var busy *gossip.Busy
		if !errors.As(err, &busy) {
			return data, address, err
		}
		address = busy.Others[rand.IntN(len(busy.Others))]
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
	if p.holder.Table() == nil || !p.members.Large() {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !now.Before(p.due)
	}
	var newest known
	newest.Table, _ = p.members.Newest()
	newest.Listing, _ = p.members.NewestListing()
	p.mu.Lock()
	defer p.mu.Unlock()
	if newest != p.noticed {
		p.noticed = newest
		p.due = now.Add(fetchAfter + rand.N(fetchSpread))
	}
	return !now.Before(p.due)
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
	if s.Listing > 0 && (s.Whole || !p.whole.Load() && s.Since <= p.listing.Number()) {
		p.whole.Store(!p.listing.TakeFromPeer(s.Listing, s.News, address))
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
