package gateway

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/gossip"
)

const (
	// zippedOver is the size from which a snapshot is compressed; a whole one is, once for
	// all that ask for it.
	zippedOver = 16 << 10
	// toldOver is the size from which news that are told unasked are compressed: those that
	// fit one datagram are not.
	toldOver = 1 << 10
	// newsSpan is how far back the news go that are told unasked: a few messages may be lost.
	newsSpan = 3 * gossip.Interval
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
		s.Listing, s.Since, s.Delta = has.Listing, had.Listing, t.listing.directory.DeltaSince(had.Listing)
	}
	if s.Full {
		s.Listing, s.Delta = 0, directory.Delta{} // It is too long to be told; they fetch it.
	}
	if s.Table == nil && s.Listing == 0 {
		return nil
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
	s.Delta = t.listing.directory.DeltaSince(has.Listing)
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
	madeOf, changes := known{Table: t.holder.Version(), Listing: t.listing.Number()}, t.listing.directory.ChangeCount()
	if t.whole != nil && madeOf == t.madeOf && changes == t.changes {
		return t.whole
	}
	t.whole = t.encode(snapshot{Table: table, Listing: madeOf.Listing, Delta: t.listing.directory.DeltaSince(0)}, zippedOver)
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
