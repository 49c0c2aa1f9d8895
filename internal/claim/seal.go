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
	// filterError is the share of unknown keys for which a seal is read in vain.
	filterError = 1e-4
	// mergeFactor is how many seals of one level and epoch become one of the next level.
	mergeFactor = 4
	// maxLevel is the level that is not merged any more.
	maxLevel = 3
	// maxSealBytes bounds a seal below the largest object.
	maxSealBytes = 900 << 10
)

// seal is the decoded content of a sealed object.
type seal struct {
	lines  []line
	index  map[string]int
	filter *bloom.BloomFilter
}

func newSeal(lines []line) *seal {
	s := &seal{
		lines:  lines,
		index:  make(map[string]int, len(lines)),
		filter: bloom.NewWithEstimates(uint(max(1, len(lines))), filterError),
	}
	for i, l := range lines {
		id := l.keyID()
		s.index[id] = i
		s.filter.AddString(id)
	}
	return s
}

func (s *seal) encode() []byte {
	var out bytes.Buffer
	writeLines(&out, s.lines)
	return out.Bytes()
}

// sealPrefix starts the names of the seals that a shard created in an epoch.
func (s *shard) sealPrefix(epoch int64) string {
	return fmt.Sprintf("%s.%d.", s.name, epoch)
}

// createSeal stores lines under a name that is used once, so that no two writers
// and no two tries share a seal.
func (s *shard) createSeal(ctx context.Context, h *head, lines []line, level int) (sealRef, error) {
	content := newSeal(lines)
	name := s.sealPrefix(h.Epoch) + uuid.NewString()
	data := content.encode()
	stored, err := s.log.store.Create(ctx, platform.Object{Collection: platform.ClaimCollection, Name: name, Data: data})
	if err != nil {
		return sealRef{}, err
	}
	s.filters[name] = content.filter
	s.log.seals.Add(name, content)
	newestEpoch := lo.Max(lo.Map(lines, func(l line, _ int) int64 { return l.Epoch }))
	return sealRef{Name: name, Version: stored.Version, Epoch: newestEpoch, Level: level, Count: len(lines), Bytes: len(data)}, nil
}

// loadSeal reads a seal through the cache. A seal that is not found was replaced, or
// the read was stale: either way the head is read again.
func (s *shard) loadSeal(ctx context.Context, ref sealRef) (*seal, error) {
	name := ref.Name
	if content, ok := s.log.seals.Get(name); ok {
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
	content := newSeal(lines)
	s.filters[name] = content.filter
	s.log.seals.Add(name, content)
	return content, nil
}

// lookup returns the newest entry of a key in the seals.
func (s *shard) lookup(ctx context.Context, h *head, id string) (entry, bool, error) {
	for i := len(h.Seals) - 1; i >= 0; i-- {
		name := h.Seals[i].Name
		if filter, ok := s.filters[name]; ok && !filter.TestString(id) {
			continue
		}
		content, err := s.loadSeal(ctx, h.Seals[i])
		if err != nil {
			return entry{}, false, err
		}
		if at, ok := content.index[id]; ok {
			return content.lines[at].entry, true, nil
		}
	}
	return entry{}, false, nil
}

// mergeable returns the bounds of the first run of seals to merge, or 0, 0.
func mergeable(seals []sealRef) (from, to int) {
	for from = range seals {
		to = from + mergeFactor
		if to > len(seals) {
			return 0, 0
		}
		first := seals[from]
		same := lo.EveryBy(seals[from:to], func(r sealRef) bool { return r.Level == first.Level && r.Epoch == first.Epoch })
		size := lo.SumBy(seals[from:to], func(r sealRef) int { return r.Bytes })
		if same && first.Level < maxLevel && size <= maxSealBytes {
			return from, to
		}
	}
	return 0, 0
}
