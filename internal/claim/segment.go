package claim

import (
	"bytes"
	"context"
	"fmt"

	"github.com/bits-and-blooms/bloom/v3"
	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
)

const (
	// filterFalsePositiveRate is the share of absent keys for which a segment is read
	// unnecessarily.
	filterFalsePositiveRate = 1e-4
	// mergeFactor is how many segments of one level and epoch are merged into one of the
	// next level.
	mergeFactor = 4
	// maxMergeLevel is the level at which segments are not merged any more.
	maxMergeLevel = 3
	// maxSegmentBytes keeps a segment below the platform's largest object.
	maxSegmentBytes = 900 << 10
)

// segment is the decoded content of a segment object.
type segment struct {
	lines  []line
	index  map[string]int
	filter *bloom.BloomFilter
}

func newSegment(lines []line) *segment {
	s := &segment{
		lines:  lines,
		index:  make(map[string]int, len(lines)),
		filter: bloom.NewWithEstimates(uint(max(1, len(lines))), filterFalsePositiveRate),
	}
	for i, l := range lines {
		id := l.keyID()
		s.index[id] = i
		s.filter.AddString(id)
	}
	return s
}

func (s *segment) encode() []byte {
	var out bytes.Buffer
	writeLines(&out, s.lines)
	return out.Bytes()
}

// segmentPrefix starts the names of the segments that a shard created in an epoch.
func (s *shard) segmentPrefix(epoch int64) string {
	return fmt.Sprintf("%s.%d.", s.name, epoch)
}

// createSegment stores lines under a unique name, so that no two writers and no two
// attempts share a segment.
func (s *shard) createSegment(ctx context.Context, h *head, lines []line, level int) (segmentRef, error) {
	content := newSegment(lines)
	name := s.segmentPrefix(h.Epoch) + uuid.NewString()
	data := content.encode()
	stored, err := s.log.store.Create(ctx, platform.Object{Collection: platform.ClaimCollection, Name: name, Data: data})
	if err != nil {
		return segmentRef{}, err
	}
	s.filters[name] = content.filter
	s.log.segments.Add(name, content)
	newestEpoch := lo.Max(lo.Map(lines, func(l line, _ int) int64 { return l.Epoch }))
	return segmentRef{Name: name, Version: stored.Version, Epoch: newestEpoch, Level: level, Count: len(lines), Bytes: len(data)}, nil
}

// loadSegment reads a segment through the cache. If it is not found, it was replaced, or
// the read was stale; in both cases the head is read again.
func (s *shard) loadSegment(ctx context.Context, ref segmentRef) (*segment, error) {
	name := ref.Name
	if content, ok := s.log.segments.Get(name); ok {
		return content, nil
	}
	o, err := s.log.store.Get(ctx, platform.ClaimCollection, name)
	if err != nil {
		return nil, err
	}
	lines, err := decodeLines(o.Data, ref.Count)
	if err != nil {
		return nil, err
	}
	content := newSegment(lines)
	s.filters[name] = content.filter
	s.log.segments.Add(name, content)
	return content, nil
}

// lookup returns the latest entry of a key in the segments.
func (s *shard) lookup(ctx context.Context, h *head, id string) (entry, bool, error) {
	for i := len(h.Segments) - 1; i >= 0; i-- {
		name := h.Segments[i].Name
		if filter, ok := s.filters[name]; ok && !filter.TestString(id) {
			continue
		}
		content, err := s.loadSegment(ctx, h.Segments[i])
		if err != nil {
			return entry{}, false, err
		}
		if at, ok := content.index[id]; ok {
			return content.lines[at].entry, true, nil
		}
	}
	return entry{}, false, nil
}

// findMergeRun returns the bounds of the first run of segments to merge, or 0, 0.
func findMergeRun(segments []segmentRef) (from, to int) {
	for from = range segments {
		to = from + mergeFactor
		if to > len(segments) {
			return 0, 0
		}
		first := segments[from]
		same := lo.EveryBy(segments[from:to], func(r segmentRef) bool { return r.Level == first.Level && r.Epoch == first.Epoch })
		size := lo.SumBy(segments[from:to], func(r segmentRef) int { return r.Bytes })
		if same && first.Level < maxMergeLevel && size <= maxSegmentBytes {
			return from, to
		}
	}
	return 0, 0
}
