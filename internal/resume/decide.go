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
	// OnlyVersion means that the service has had only one version recently.
	OnlyVersion Verdict = "only_version"
	// Unknown means that the stream may have begun at any of several versions.
	Unknown Verdict = "unknown"
)

// evidence is what is known about a stream that is to be resumed.
type evidence struct {
	service string
	// own and peer are the origin as remembered here and by a peer, or nil.
	own, peer *Origin
	// recent are the recent versions of the service, as seen here and by the peers that
	// answered.
	recent []string
	// complete is set if one of them covers all of Window. What a gateway that has just started has
	// seen says nothing about the versions before.
	complete bool
}

// decide returns where the stream may go on.
func decide(e evidence) (Origin, Verdict) {
	recent := lo.Uniq(slices.Clone(e.recent))
	switch {
	case e.own != nil:
		return *e.own, KnownHere
	case e.peer != nil:
		return *e.peer, KnownByPeer
	case len(recent) == 1 && e.complete:
		return Origin{Service: e.service, Version: recent[0]}, OnlyVersion
	}
	return Origin{Service: e.service}, Unknown
}
