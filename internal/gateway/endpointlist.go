package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/directory"
)

// removalBits is the number of low bits of a list version that count the removals of
// missing entries since the platform's last change.
const removalBits = 16

// endpointList is the list of endpoints and its version. The version orders the lists of all
// gateways: it holds the platform's era, and its number combines the platform's version with
// the count of missing entries removed since. While this gateway does not watch the platform,
// or can't read it, it accepts newer lists from peers. It is safe for concurrent use.
type endpointList struct {
	directory *directory.Directory
	// onChange is called after each change of the directory, and onNewVersion after each
	// increase of the version that a change on the platform caused.
	onChange, onNewVersion func()
	// onAssign is called with the version of the list after each change, and whether the list was
	// read from the platform. It follows onChange.
	onAssign func(version directory.Version, direct bool)
	// onReading is called with the success of each read of the platform's endpoints; it is optional.
	onReading func(succeeded bool)
	log       *logrus.Logger

	mu      sync.Mutex
	version directory.Version
	// listedEra is the platform's era of the last list that this gateway read itself, or 0.
	listedEra int64
	// confirmedAt is the last time at which the list was known to be current, from the
	// platform or from the versions of live peers.
	confirmedAt time.Time
	// platformUnavailable is set while the platform can't be read, and until the first read.
	platformUnavailable bool
	// platformUnreachable is set while reads of the platform fail.
	platformUnreachable bool
	// standby is set while other gateways watch the platform for this one.
	standby bool
}

// Version returns the version of the list, or the zero version before the first list.
func (l *endpointList) Version() directory.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// PlatformVersion returns the platform's version of the list, or 0 before the first list.
func (l *endpointList) PlatformVersion() int64 { return l.Version().Number >> removalBits }

// Age returns the time since the list was last known to be current, or 0 before the first list.
func (l *endpointList) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(l.confirmedAt)
}

// Confirm marks the list as current at some time if version, the newest list version of all live
// peers then, is not newer.
func (l *endpointList) Confirm(at time.Time, version directory.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version.Number > 0 && !version.After(l.version) && at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// PlatformUnreachable reports whether reads of the platform fail.
func (l *endpointList) PlatformUnreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.platformUnreachable
}

// Accepts reports whether a peer's list of that version would replace this one. A list of a
// later era does so even while this gateway watches the platform, as its watch still waits for
// changes of an era that has ended.
func (l *endpointList) Accepts(version directory.Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	outdated := l.version.Era > 0 && version.Era > l.version.Era
	return (l.platformUnavailable || l.standby || outdated) && version.After(l.version)
}

// SetPlatformVersion records that all changes up to the platform's version in that era have
// been applied. The list version grows only if the list changed, so that peers fetch nothing
// else.
func (l *endpointList) SetPlatformVersion(era, version int64) {
	newer := l.advanceTo(directory.Version{Era: era, Number: version << removalBits})
	l.onAssign(l.Version(), true)
	if newer {
		l.onNewVersion()
	}
}

// advanceTo marks the list as current and raises its version if the list has changed or the
// era has. It reports whether the version grew.
func (l *endpointList) advanceTo(version directory.Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmedAt = time.Now()
	version = directory.Latest(l.version, version)
	if !l.directory.AssignVersion(version) && l.version.Number > 0 {
		return false
	}
	newer := version.After(l.version)
	l.version = version
	return newer
}

// Expire removes entries that did not return after an outage.
func (l *endpointList) Expire(now time.Time) {
	removed := l.directory.Expire(now)
	if len(removed) == 0 {
		return
	}
	l.mu.Lock()
	l.version.Number++
	l.directory.AssignVersion(l.version)
	l.mu.Unlock()
	l.log.WithFields(logrus.Fields{"event": "endpoints_gone", "endpoints": removed}).Info("entries did not return after the outage")
	l.onChange()
	l.onAssign(l.Version(), false)
}

// PlatformUnavailable records that the platform can't be read.
func (l *endpointList) PlatformUnavailable() {
	l.setState(true, false, true)
	l.directory.PlatformUnavailable()
	l.noteReading(false)
}

// PlatformAvailable records that the platform responds.
func (l *endpointList) PlatformAvailable() {
	l.setState(false, false, false)
	l.directory.PlatformAvailable(time.Now())
	l.noteReading(true)
}

func (l *endpointList) noteReading(succeeded bool) {
	if l.onReading != nil {
		l.onReading(succeeded)
	}
}

// BeginEra records that this gateway has listed the platform's endpoints in that era. It
// reports whether the list is its first one of a later era, and so may be older than what it
// holds.
func (l *endpointList) BeginEra(era int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.listedEra
	if previous == 0 {
		previous = l.version.Era // Of a peer's list.
	}
	l.listedEra = max(l.listedEra, era)
	return previous > 0 && era > previous
}

// Standby records that other gateways watch the platform from now on.
func (l *endpointList) Standby() { l.setState(false, true, false) }

func (l *endpointList) setState(unavailable, standby, unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platformUnavailable, l.standby, l.platformUnreachable = unavailable, standby, unreachable
}

// ApplyPeerDelta applies a peer's delta, which leads to its list of that version, if Accepts
// allows it. It returns false if the result differs from the peer's list, so that the full
// list must be requested.
func (l *endpointList) ApplyPeerDelta(version directory.Version, delta directory.Delta, peer string) bool {
	if !l.Accepts(version) {
		return true
	}
	matches := l.directory.Apply(delta)
	l.onChange() // Before peers can know the version: they rely on what it brings being used.
	if !matches && !delta.Full {
		l.log.WithFields(logrus.Fields{"event": "endpoints_differ", "from": "peer " + peer, "version": version.Number >> removalBits, "era": version.Era}).Warn("a peer's delta does not lead to its list; the full list is requested")
		return false
	}
	l.mu.Lock()
	l.directory.AssignVersion(version)
	l.version, l.confirmedAt = directory.Latest(l.version, version), time.Now()
	l.mu.Unlock()
	l.log.WithFields(logrus.Fields{
		"event": "endpoints", "from": "peer " + peer, "version": version.Number >> removalBits, "era": version.Era, "whole": delta.Full, "changed": len(delta.Endpoints), "gone": len(delta.Removed),
	}).Info("endpoint list of a peer applied")
	l.onAssign(l.Version(), false)
	return true
}
