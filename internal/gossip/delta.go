package gossip

// Load pattern: a change that has to reach hundreds of daemons at once. It is sent in
// datagrams, so that they need not all fetch it from the few that have it first.

const (
	// deltaPartBytes is the size of a delta's part in one datagram.
	deltaPartBytes = 1100
	// maxDeltaParts bounds a delta that is sent in datagrams; peers fetch a larger one.
	maxDeltaParts = 24
)

// DeltaPart is a part of a delta, the recent changes at the sender.
type DeltaPart struct {
	_ struct{} `cbor:",toarray"`
	// Sequence distinguishes the sender's deltas; a higher one is later.
	Sequence uint32
	Index    int
	Total    int
	Data     []byte
}

// splitDelta splits a delta into parts, or returns nil if it is too large for datagrams.
func splitDelta(sequence uint32, data []byte) []DeltaPart {
	total := (len(data) + deltaPartBytes - 1) / deltaPartBytes
	if total > maxDeltaParts {
		return nil
	}
	parts := make([]DeltaPart, total)
	for i := range parts {
		parts[i] = DeltaPart{Sequence: sequence, Index: i, Total: total, Data: data[i*deltaPartBytes : min(len(data), (i+1)*deltaPartBytes)]}
	}
	return parts
}

// reassembler joins the parts of deltas. It holds the latest delta of each sender.
type reassembler struct{ bySender map[string]*partialDelta }

type partialDelta struct {
	sequence uint32
	parts    [][]byte
	missing  int
}

// add adds a part. It returns the delta when the part was the last missing one.
func (r *reassembler) add(sender string, part DeltaPart) []byte {
	if part.Total < 1 || part.Total > maxDeltaParts || part.Index < 0 || part.Index >= part.Total {
		return nil
	}
	if r.bySender == nil {
		r.bySender = make(map[string]*partialDelta)
	}
	partial := r.bySender[sender]
	if partial == nil || partial.sequence < part.Sequence {
		partial = &partialDelta{sequence: part.Sequence, parts: make([][]byte, part.Total), missing: part.Total}
		r.bySender[sender] = partial
	}
	if partial.sequence != part.Sequence || len(partial.parts) != part.Total || partial.parts[part.Index] != nil {
		return nil // Part of an earlier delta, or a duplicate.
	}
	partial.parts[part.Index] = part.Data
	partial.missing--
	if partial.missing > 0 {
		return nil
	}
	var complete []byte
	for _, data := range partial.parts {
		complete = append(complete, data...)
	}
	return complete
}

// forget drops the sender's state, since a restarted sender restarts its sequence.
func (r *reassembler) forget(sender string) { delete(r.bySender, sender) }
