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
	// snapshotCompressionThreshold is the size, in bytes, above which a snapshot is compressed.
	// A full snapshot is compressed once for all peers that request it.
	snapshotCompressionThreshold = 16 << 10
	// deltaCompressionThreshold is the size, in bytes, above which a pushed delta is compressed:
	// a delta that fits one datagram is not.
	deltaCompressionThreshold = 1 << 10
	// pushWindow is the period of which a pushed delta contains the changes. It spans several
	// messages, because some may be lost.
	pushWindow = 3 * gossip.Interval
)

// snapshotPublisher encodes snapshots for peers. It is safe for concurrent use.
type snapshotPublisher struct {
	tableHolder  *tableHolder
	endpointList *endpointList
	log          *logrus.Logger

	mu sync.Mutex
	// full is the last full snapshot, encoded from the table and list of fullVersions and from
	// the directory at fullDirectoryVersion.
	full                 []byte
	fullVersions         versions
	fullDirectoryVersion uint64
	// history holds the versions of the last pushWindow, the latest last.
	history []versionsAt
}

// versionsAt holds the versions that a gateway had at one time.
type versionsAt struct {
	versions
	recordedAt time.Time
}

// RecentDelta returns the encoded changes of the last pushWindow, or nil if there are none to
// push. It must be called periodically, because it also records the current versions.
func (p *snapshotPublisher) RecentDelta(now time.Time) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := newVersions(p.tableHolder.Version(), p.endpointList.Version())
	p.history = append(p.history, versionsAt{current, now})
	for len(p.history) > 1 && now.Sub(p.history[1].recordedAt) >= pushWindow {
		p.history = p.history[1:]
	}
	base := p.history[0]
	if base.versions == current || base.Table == 0 || now.Sub(base.recordedAt) < pushWindow {
		return nil
	}
	var s snapshot
	if current.Table > base.Table {
		s.Table = p.tableHolder.Data()
	}
	if current.list().After(base.list()) {
		s.ListNumber, s.ListEra, s.Since, s.Delta = current.ListNumber, current.ListEra, base.ListNumber, p.endpointList.directory.DeltaSince(base.list())
	}
	if s.Full {
		s.ListNumber, s.Delta = 0, directory.Delta{} // A full list is too long to push; peers fetch it.
	}
	if s.Table == nil && s.ListNumber == 0 {
		return nil
	}
	return p.encode(s, deltaCompressionThreshold)
}

// SnapshotFor returns the encoded snapshot for a peer's request, which holds the peer's
// versions, or nil before the first table.
func (p *snapshotPublisher) SnapshotFor(request []byte) []byte {
	table := p.tableHolder.Data()
	if table == nil {
		return nil
	}
	var held versions
	if len(request) > 0 {
		if err := json.Unmarshal(request, &held); err != nil {
			p.log.WithFields(logrus.Fields{"event": "snapshot_failed", "error": err}).Warn("a peer's request could not be read; the full snapshot is sent")
		}
	}
	if held == (versions{}) {
		return p.fullSnapshot(table)
	}
	// The version is read before the delta: a change in between is then in the delta but not
	// in the version, never the other way round.
	current := p.endpointList.Version()
	s := snapshot{ListNumber: current.Number, ListEra: current.Era, Since: held.ListNumber}
	s.Delta = p.endpointList.directory.DeltaSince(held.list())
	if p.tableHolder.Version() > held.Table {
		s.Table = table
	}
	return p.encode(s, snapshotCompressionThreshold)
}

// fullSnapshot returns the full snapshot. It is encoded once for all peers that request it,
// as many do at once when a fleet starts.
func (p *snapshotPublisher) fullSnapshot(table []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, directoryVersion := newVersions(p.tableHolder.Version(), p.endpointList.Version()), p.endpointList.directory.ChangeCount()
	if p.full != nil && current == p.fullVersions && directoryVersion == p.fullDirectoryVersion {
		return p.full
	}
	p.full = p.encode(snapshot{Table: table, ListNumber: current.ListNumber, ListEra: current.ListEra, Delta: p.endpointList.directory.DeltaSince(directory.Version{})}, snapshotCompressionThreshold)
	p.fullVersions, p.fullDirectoryVersion = current, directoryVersion
	return p.full
}

func (p *snapshotPublisher) encode(s snapshot, compressAbove int) []byte {
	data, err := json.Marshal(s)
	if err == nil && len(data) > compressAbove {
		data, err = compress(data)
	}
	if err != nil {
		p.log.WithFields(logrus.Fields{"event": "snapshot_failed", "error": err}).Error("a snapshot for peers could not be encoded")
		return nil
	}
	return data
}
