package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/directory"
)

// dropBits is the part of a listing's number that counts entries dropped since the
// platform's last change.
const dropBits = 16

// listing is the list of endpoints and its number, which orders the lists of all
// gateways: the platform's version, then the drops of lapsed entries. While this gateway
// does not follow the platform, or can't read it, a peer's newer list is taken. It is
// safe for concurrent use.
type listing struct {
	directory *directory.Directory
	// changed is called after each change of the directory, and renumbered after each change
	// of the number that the platform caused.
	changed, renumbered func()
	log                 *logrus.Logger

	mu     sync.Mutex
	number int64
	// confirmed is when the platform, or a peer that follows it, last told of nothing newer.
	confirmed time.Time
	// away is set while the platform can't be read, and before it first was.
	away bool
	// blind is set while the platform was tried and can't be read.
	blind bool
	// idle is set while others follow the platform for this gateway.
	idle bool
}

// Number returns the number of the list, or 0 before the first.
func (l *listing) Number() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number
}

// Version returns the platform's version of the list, or 0 before the first.
func (l *listing) Version() int64 { return l.Number() >> dropBits }

// Age returns the time since the list was last known to be the newest, or 0 before the first.
func (l *listing) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmed.IsZero() {
		return 0
	}
	return now.Sub(l.confirmed)
}

// Confirm notes that the newest list of any live peer has this number.
func (l *listing) Confirm(now time.Time, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number > 0 && number <= l.number {
		l.confirmed = now
	}
}

// Blind reports whether the platform was tried and can't be read.
func (l *listing) Blind() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blind
}

// Behind reports whether a peer's list of that number would be taken.
func (l *listing) Behind(number int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return (l.away || l.idle) && number > l.number
}

// Reached notes that the platform told of everything up to version. The number grows
// only with a change of the list, so that peers fetch nothing else.
func (l *listing) Reached(version int64) {
	if l.raise(version << dropBits) {
		l.renumbered()
	}
}

// raise reports whether the number grew.
func (l *listing) raise(number int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = time.Now()
	number = max(l.number, number)
	if !l.directory.AssignVersion(number) && l.number > 0 {
		return false
	}
	grew := number > l.number
	l.number = number
	return grew
}

// Expire drops entries that did not return after an outage.
func (l *listing) Expire(now time.Time) {
	gone := l.directory.Expire(now)
	if len(gone) == 0 {
		return
	}
	l.mu.Lock()
	l.number++
	l.directory.AssignVersion(l.number)
	l.mu.Unlock()
	l.log.WithFields(logrus.Fields{"event": "endpoints_gone", "endpoints": gone}).Info("entries did not return after the outage")
	l.changed()
}

// StoreAway notes that the platform can't be read.
func (l *listing) StoreAway() {
	l.set(true, false, true)
	l.directory.PlatformUnavailable()
}

// StoreBack notes that the platform answers.
func (l *listing) StoreBack() {
	l.set(false, false, false)
	l.directory.PlatformAvailable(time.Now())
}

// Idle notes that others follow the platform from now on.
func (l *listing) Idle() { l.set(false, true, false) }

func (l *listing) set(away, idle, blind bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away, l.idle, l.blind = away, idle, blind
}

// TakeFromPeer takes a peer's news if its list, of that number, is newer and this gateway
// has no better one. It reports false if the whole list must be asked for.
func (l *listing) TakeFromPeer(number int64, news directory.Delta, peer string) bool {
	if !l.Behind(number) {
		return true
	}
	same := l.directory.Apply(news)
	if !same && !news.Full {
		l.log.WithFields(logrus.Fields{"event": "endpoints_differ", "from": "peer " + peer, "version": number >> dropBits}).Warn("a peer's changes do not lead to its list; the whole is asked for")
		l.changed()
		return false
	}
	l.mu.Lock()
	l.directory.AssignVersion(number)
	l.number, l.confirmed = max(l.number, number), time.Now()
	l.mu.Unlock()
	l.log.WithFields(logrus.Fields{
		"event": "endpoints", "from": "peer " + peer, "version": number >> dropBits, "whole": news.Full, "changed": len(news.Endpoints), "gone": len(news.Removed),
	}).Info("a peer's list of endpoints is in use")
	l.changed()
	return true
}
