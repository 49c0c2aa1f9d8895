package claim

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// tailBytes is the size of a head's tail above which it is sealed.
	tailBytes = 8 << 10
	// epochsKept is how many whole epochs make up the retention.
	epochsKept = 12
)

// plan is an append that has been worked out but not written.
type plan struct {
	next    *head
	answers []Result
	// created are the seals that the append links, and dropped those that it unlinks.
	created, dropped []sealRef
}

// newPlan works out the append that follows from the head for the requests.
func (s *shard) newPlan(ctx context.Context, requests []request, now time.Time) (*plan, error) {
	known, err := s.known(ctx, requests)
	if err != nil {
		return nil, err
	}
	answers, appended := decide(s.head.Epoch, epochsKept, known, requests)
	p := &plan{
		answers: answers,
		next:    &head{Epoch: s.head.Epoch, Seals: slices.Clone(s.head.Seals), tail: slices.Clone(s.head.tail)},
	}
	if err := s.compact(ctx, p, now); err != nil {
		s.orphans = append(s.orphans, p.created...)
		return nil, err
	}
	for _, e := range appended {
		l, err := newLine(e)
		if err != nil {
			return nil, err
		}
		p.next.tail = append(p.next.tail, l)
	}
	return p, nil
}

// known returns the newest entry of each key that the requests name.
func (s *shard) known(ctx context.Context, requests []request) (map[string]entry, error) {
	known := make(map[string]entry, len(requests))
	for _, r := range requests {
		id := r.claim.keyID()
		if _, ok := known[id]; ok {
			continue
		}
		if i, ok := s.index[id]; ok {
			known[id] = s.head.tail[i].entry
			continue
		}
		e, ok, err := s.lookup(ctx, s.head, id)
		if err != nil {
			return nil, err
		}
		if ok {
			known[id] = e
		}
	}
	return known, nil
}

// compact seals a long tail, merges seals, and begins a new epoch if one is due.
func (s *shard) compact(ctx context.Context, p *plan, now time.Time) error {
	h := p.next
	if h.tailBytes() > tailBytes {
		if lines := newest(h.tail, h.Epoch, epochsKept); len(lines) > 0 {
			ref, err := s.createSeal(ctx, h, lines, 0)
			if err != nil {
				return err
			}
			h.Seals = append(h.Seals, ref)
			p.created = append(p.created, ref)
		}
		h.tail = nil
	} else if err := s.merge(ctx, p); err != nil {
		return err
	}
	if now.Sub(s.epochLearned) >= s.log.epochLength() {
		p.beginEpoch()
	}
	return nil
}

// merge replaces a run of seals by one.
func (s *shard) merge(ctx context.Context, p *plan) error {
	from, to := mergeable(p.next.Seals)
	if to == 0 {
		return nil
	}
	run := slices.Clone(p.next.Seals[from:to])
	var lines []line
	for _, ref := range run {
		content, err := s.loadSeal(ctx, ref)
		if err != nil {
			return err
		}
		lines = append(lines, content.lines...)
	}
	lines = newest(lines, p.next.Epoch, epochsKept)
	p.dropped = append(p.dropped, run...)
	if len(lines) == 0 {
		p.next.Seals = slices.Delete(p.next.Seals, from, to)
		return nil
	}
	ref, err := s.createSeal(ctx, p.next, lines, run[0].Level+1)
	if err != nil {
		return err
	}
	p.created = append(p.created, ref)
	p.next.Seals = slices.Replace(p.next.Seals, from, to, ref)
	return nil
}

// beginEpoch moves on to the next epoch and drops what has expired by then.
func (p *plan) beginEpoch() {
	h := p.next
	h.Epoch++
	expired, kept := lo.FilterReject(h.Seals, func(r sealRef, _ int) bool {
		return entry{Epoch: r.Epoch}.expired(h.Epoch, epochsKept)
	})
	p.dropped = append(p.dropped, expired...)
	h.Seals = kept
	h.tail = lo.Filter(h.tail, func(l line, _ int) bool { return !l.expired(h.Epoch, epochsKept) })
}
