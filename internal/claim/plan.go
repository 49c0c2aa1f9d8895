package claim

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// maxTailBytes is the size of a head's tail above which it is sealed into a segment.
	maxTailBytes = 8 << 10
	// retentionEpochs is how many complete epochs make up the retention.
	retentionEpochs = 12
)

// plan is an append that has been computed but not written.
type plan struct {
	next    *head
	results []Result
	// createdSegments are those that the append links, droppedSegments those that it
	// unlinks.
	createdSegments, droppedSegments []segmentRef
}

// newPlan computes the append of the requests' entries to the current head. It may store
// segments, but does not write the head.
func (s *shard) newPlan(ctx context.Context, requests []request, now time.Time) (*plan, error) {
	latest, err := s.latestEntries(ctx, requests)
	if err != nil {
		return nil, err
	}
	results, entries := decide(s.head.Epoch, retentionEpochs, latest, requests)
	p := &plan{
		results: results,
		next:    &head{Epoch: s.head.Epoch, Segments: slices.Clone(s.head.Segments), Fences: s.head.Fences, tail: slices.Clone(s.head.tail)},
	}
	if s.fenceNonce > 0 {
		p.next.Fences = withFence(s.head.Fences, s.log.options.Incarnation, s.fenceNonce, s.head.Epoch)
	}
	if err := s.compact(ctx, p, now); err != nil {
		s.unconfirmed = append(s.unconfirmed, p.createdSegments...)
		return nil, err
	}
	for _, e := range entries {
		l, err := newLine(e)
		if err != nil {
			return nil, err
		}
		p.next.tail = append(p.next.tail, l)
	}
	return p, nil
}

// latestEntries returns the latest entry of each key that the requests name.
func (s *shard) latestEntries(ctx context.Context, requests []request) (map[string]entry, error) {
	latest := make(map[string]entry, len(requests))
	for _, r := range requests {
		id := r.claim.keyID()
		if _, ok := latest[id]; ok {
			continue
		}
		if i, ok := s.index[id]; ok {
			latest[id] = s.head.tail[i].entry
			continue
		}
		e, ok, err := s.lookup(ctx, s.head, id)
		if err != nil {
			return nil, err
		}
		if ok {
			latest[id] = e
		}
	}
	return latest, nil
}

// compact seals a long tail, or else merges segments, and begins a new epoch if one is due.
func (s *shard) compact(ctx context.Context, p *plan, now time.Time) error {
	h := p.next
	if h.tailBytes() > maxTailBytes {
		if lines := latestUnexpired(h.tail, h.Epoch, retentionEpochs); len(lines) > 0 {
			ref, err := s.createSegment(ctx, h, lines, 0)
			if err != nil {
				return err
			}
			h.Segments = append(h.Segments, ref)
			p.createdSegments = append(p.createdSegments, ref)
		}
		h.tail = nil
	} else if err := s.merge(ctx, p); err != nil {
		return err
	}
	if now.Sub(s.epochSeenAt) >= s.log.epochLength() {
		p.beginEpoch()
	}
	return nil
}

// merge replaces a run of segments with one.
func (s *shard) merge(ctx context.Context, p *plan) error {
	from, to := findMergeRun(p.next.Segments)
	if to == 0 {
		return nil
	}
	run := slices.Clone(p.next.Segments[from:to])
	var lines []line
	for _, ref := range run {
		content, err := s.loadSegment(ctx, ref)
		if err != nil {
			return err
		}
		lines = append(lines, content.lines...)
	}
	lines = latestUnexpired(lines, p.next.Epoch, retentionEpochs)
	p.droppedSegments = append(p.droppedSegments, run...)
	if len(lines) == 0 {
		p.next.Segments = slices.Delete(p.next.Segments, from, to)
		return nil
	}
	ref, err := s.createSegment(ctx, p.next, lines, run[0].Level+1)
	if err != nil {
		return err
	}
	p.createdSegments = append(p.createdSegments, ref)
	p.next.Segments = slices.Replace(p.next.Segments, from, to, ref)
	return nil
}

// beginEpoch advances to the next epoch and drops what has expired by then.
func (p *plan) beginEpoch() {
	h := p.next
	h.Epoch++
	expired, kept := lo.FilterReject(h.Segments, func(r segmentRef, _ int) bool {
		return entry{Epoch: r.Epoch}.expired(h.Epoch, retentionEpochs)
	})
	p.droppedSegments = append(p.droppedSegments, expired...)
	h.Segments = kept
	h.tail = lo.Filter(h.tail, func(l line, _ int) bool { return !l.expired(h.Epoch, retentionEpochs) })
	h.Fences = lo.Reject(h.Fences, func(f fence, _ int) bool { return entry{Epoch: f.Epoch}.expired(h.Epoch, retentionEpochs) })
}
