package gossip

// Kind is what a datagram is sent for; see Options.OnSent.
type Kind string

// The kinds of datagrams.
const (
	// KindState is a daemon's versions and roles, with or without its loads.
	KindState Kind = "state"
	// KindAggregated is the load of all daemons.
	KindAggregated Kind = "aggregated"
	// KindDelta is a part of a delta.
	KindDelta Kind = "delta"
	// KindEvidence is evidence against requests and parts of prompts, and states of endpoints.
	KindEvidence Kind = "evidence"
	// KindStream is about streams that may be resumed.
	KindStream Kind = "stream"
	// KindRelayed is a datagram of another daemon.
	KindRelayed Kind = "relayed"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{KindState, KindAggregated, KindDelta, KindEvidence, KindStream, KindRelayed}
}

func (m Message) kind() Kind {
	switch {
	case len(m.AggregatedLoads) > 0:
		return KindAggregated
	case len(m.DeltaParts) > 0:
		return KindDelta
	case m.StreamAnswer != nil || m.StreamQuery != nil || len(m.StreamOrigins) > 0:
		return KindStream
	case m.ContentEvidence != nil || m.PartEvidence != nil || len(m.LimitEnds) > 0 || len(m.BrittleNews) > 0:
		return KindEvidence
	default:
		return KindState
	}
}
