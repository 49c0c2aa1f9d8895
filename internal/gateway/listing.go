package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// listing is the list of endpoints and the platform's version that it reflects. While
// the platform can't be read, a peer's newer list is taken. It is safe for concurrent use.
type listing struct {
	directory *directory.Directory
	// changed is called after each change of the directory.
	changed func()
	log     *logrus.Logger

	mu      sync.Mutex
	version int64
	// away is set while the platform can't be read, and before it first was.
	away bool
}

// Version returns the platform's version of the list, or 0 before the first.
func (l *listing) Version() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// Behind reports whether a peer's list of that version would be taken.
func (l *listing) Behind(version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.away && version > l.version
}

// Reached notes that the platform told of everything up to version.
func (l *listing) Reached(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = max(l.version, version)
}

// StoreAway notes that the platform can't be read.
func (l *listing) StoreAway() {
	l.setAway(true)
	l.directory.StoreAway()
}

// StoreBack notes that the platform answers.
func (l *listing) StoreBack() {
	l.setAway(false)
	l.directory.StoreBack(time.Now())
}

func (l *listing) setAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
}

// TakeFromPeer takes a peer's list if it is newer and the platform is away.
func (l *listing) TakeFromPeer(now time.Time, version int64, rows []routetable.Endpoint, peer string) {
	if !l.Behind(version) {
		return
	}
	l.directory.Replace(now, rows)
	l.Reached(version)
	l.log.WithFields(logrus.Fields{"event": "endpoints", "from": "peer " + peer, "version": version, "endpoints": len(rows)}).Info("a peer's list of endpoints is in use")
	l.changed()
}
