package reach

import "github.com/samber/lo"

// Reference is the result of connecting to other endpoints, which tells a link that is cut from an
// endpoint that is down.
type Reference int

const (
	// NoReference means that no other endpoint could tell: none is listed, or all have just crashed or
	// were down before.
	NoReference Reference = iota
	// ReferenceReached means that one of the others was reached.
	ReferenceReached
	// ReferenceLost means that none was, and that at least one of them should have been.
	ReferenceLost
)

// maxReferences bounds the endpoints of a service, and those of other services, that are tried
// as references.
const maxReferences = 2

// Other is an endpoint that may serve as a reference.
type Other struct {
	Target
	// State is that of the path from this gateway.
	State State
	// Down is set if the endpoint was found to be down, DownBefore if that was well before the target
	// ceased to be reached, and Crashed if it crashed lately.
	Down, DownBefore, Crashed bool
}

// knownDown reports whether it tells nothing about links if the endpoint is not reached.
func (o Other) knownDown() bool { return o.Down || o.Crashed }

// References returns the endpoints to connect to if target is not reached: others of its service,
// as its links alone may be cut, and those of other services if all of its own are known to be
// down. shuffled returns its argument in random order.
func References(target Target, others []Other, shuffled func([]Other) []Other) []Other {
	others = lo.Filter(shuffled(others), func(o Other, _ int) bool { return o.Address != target.Address })
	same, foreign := lo.FilterReject(others, func(o Other, _ int) bool { return o.Service == target.Service })
	chosen := firstUsable(same)
	if lo.EveryBy(chosen, Other.knownDown) {
		chosen = append(chosen, firstUsable(foreign)...)
	}
	return chosen
}

// firstUsable returns up to maxReferences endpoints, those first that tell most: an endpoint that is
// not reached already is of less use.
func firstUsable(others []Other) []Other {
	up, down := lo.FilterReject(others, func(o Other, _ int) bool { return !o.knownDown() })
	whole, suspect := lo.FilterReject(up, func(o Other, _ int) bool { return o.State == Whole })
	chosen := append(append(whole, suspect...), down...)
	return chosen[:min(maxReferences, len(chosen))]
}

// JudgeReferences returns the result of connecting to the references, of which none was reached. One
// that has just crashed is not back yet, and one that was down well before has been probed since. One
// that was found to be down at about the same time as the target may be up behind a link that is cut.
func JudgeReferences(references []Other) Reference {
	if lo.EveryBy(references, func(o Other) bool { return o.Crashed || o.DownBefore }) {
		return NoReference
	}
	return ReferenceLost
}
