package resume

import (
	"slices"

	"github.com/samber/lo"
)

// Verdict says what a decision on a resumed stream is based on.
type Verdict string

// Values of Verdict.
const (
	// KnownHere and KnownByPeer mean that the origin was remembered.
	KnownHere   Verdict = "known"
	KnownByPeer Verdict = "known_by_peer"
	// OnlyVersion means that the service has had only one version recently, as a quorum of the
	// gateways or the platform knows.
	OnlyVersion Verdict = "only_version"
	// Unknown means that the stream may have begun at any of several versions, or at one that this
	// gateway has not seen.
	Unknown Verdict = "unknown"
)

// evidence is what is known about a stream that is to be resumed.
type evidence struct {
	service string
	// otherServices is set if the route has had others recently.
	otherServices bool
	// own and peer are the origin as remembered here and by a peer, or nil.
	own, peer *Origin
	// recent are the recent versions of the service, as seen here, by the peers that answered, and
	// by the platform.
	recent []string
	// gateways is the number of gateways of the fleet, by the highest count of those that were
	// asked, and followers the number of them, this one included, whose recent versions count.
	gateways, followers int
	// fresh is set if the platform was read after the stream was to be resumed.
	fresh bool
}

// conclusive reports whether a version that is not in recent can't have begun the stream.
func (e evidence) conclusive() bool { return e.fresh || e.followers >= readQuorum(e.gateways) }

// ambiguous reports whether only a gateway that remembers the stream can tell where it began.
func (e evidence) ambiguous() bool { return e.otherServices || len(e.versions()) > 1 }

// versions returns the recent versions, each once.
func (e evidence) versions() []string { return lo.Uniq(slices.Clone(e.recent)) }

// decide returns where the stream may go on.
func decide(e evidence) (Origin, Verdict) {
	switch versions := e.versions(); {
	case e.own != nil:
		return *e.own, KnownHere
	case e.peer != nil:
		return *e.peer, KnownByPeer
	case len(versions) == 1 && !e.ambiguous() && e.conclusive():
		return Origin{Service: e.service, Version: versions[0]}, OnlyVersion
	}
	return Origin{Service: e.service}, Unknown
}
