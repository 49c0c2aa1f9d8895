package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/platform"
)

const (
	// headPrefix starts the names of heads. The names of a shard's segments start with its
	// head's name and a dot.
	headPrefix = "shard-"
	// collectBatchSize bounds the objects deleted between two batches.
	collectBatchSize = 16
	// maxGarbage is how many objects may await deletion before some are deleted even while
	// claims keep arriving.
	maxGarbage = 64
)

func headName(number int) string { return fmt.Sprintf("%s%03d", headPrefix, number) }

// refresh reads the head, at minVersion or later. A stale read is an error, to be retried.
func (s *shard) refresh(ctx context.Context) error {
	s.log.metrics.reads.Inc(1)
	o, err := s.log.store.Get(ctx, platform.ClaimCollection, s.name)
	if platform.ReasonOf(err) == platform.NotFound && s.head == nil {
		// If the read is stale, the create fails and the shard reads again.
		s.installHead(&head{}, 0)
		return nil
	}
	if err != nil {
		return err
	}
	if o.Version < s.minVersion {
		return &platform.Error{Reason: platform.NotFound, Op: "get", Key: s.name, Cause: oops.Errorf("stale reading at version %d", o.Version)}
	}
	h, err := decodeHead(o.Data)
	if err != nil {
		s.log.options.Logger.WithError(err).WithField("object", s.name).Error("cannot decode claim log head")
		return err
	}
	s.installHead(h, o.Version)
	return nil
}

// writeHead replaces the head at the version last read, or creates it. It returns the new
// version.
func (s *shard) writeHead(ctx context.Context, h *head) (int64, error) {
	data, err := h.encode()
	if err != nil {
		return 0, &platform.Error{Reason: platform.Invalid, Op: "update", Key: s.name, Cause: err}
	}
	s.lastAppend = s.log.now()
	o := platform.Object{Collection: platform.ClaimCollection, Name: s.name, Version: s.version, Data: data}
	write := s.log.store.Update
	if s.version == 0 {
		write = s.log.store.Create
	}
	stored, err := write(ctx, o)
	return stored.Version, err
}

// installHead makes h the current head. A newer version settles every append that was
// attempted at the one before: segments that were created for it and that h does not link
// will never be linked.
func (s *shard) installHead(h *head, version int64) {
	if s.head == nil || s.head.Epoch != h.Epoch {
		s.epochSeenAt = s.log.now()
	}
	newer := version > s.version
	s.head, s.version, s.headOutdated = h, version, false
	s.index = make(map[string]int, len(h.tail))
	for i, l := range h.tail {
		s.index[l.keyID()] = i
	}
	linked := linkedSegments(h)
	for name := range s.filters {
		if !linked[name] {
			delete(s.filters, name)
		}
	}
	if !newer {
		return
	}
	s.garbage = append(s.garbage, lo.Reject(s.unconfirmed, func(r segmentRef, _ int) bool { return linked[r.Name] })...)
	s.unconfirmed = nil
}

func linkedSegments(h *head) map[string]bool {
	return lo.SliceToMap(h.Segments, func(r segmentRef) (string, bool) { return r.Name, true })
}

// collectGarbage deletes a few of the objects that no head will link again, and returns
// whether more are left. It is best effort: the sweep of an epoch finds what a crash left
// behind. It takes at most half of the time that a claim has, since claims wait for it.
func (s *shard) collectGarbage(ctx context.Context) bool {
	if len(s.garbage) == 0 && s.pendingSweep < 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.log.options.Timeout/2)
	defer cancel()
	if epoch := s.pendingSweep; epoch >= 0 {
		s.pendingSweep = -1
		s.sweepEpoch(ctx, epoch)
		s.sweepEpoch(ctx, epoch-retentionEpochs)
	}
	n := min(collectBatchSize, len(s.garbage))
	for _, r := range s.garbage[:n] {
		_ = s.log.store.Delete(ctx, platform.ClaimCollection, r.Name, r.Version)
	}
	s.garbage = s.garbage[n:]
	return len(s.garbage) > 0
}

// sweepEpoch finds the segments that were created in a past epoch and are not linked. A
// segment is first linked by a head of the epoch in its name, or never, so one that the
// head of a later epoch does not link is garbage.
func (s *shard) sweepEpoch(ctx context.Context, epoch int64) {
	if epoch < 0 || epoch >= s.head.Epoch {
		return
	}
	list, err := s.log.store.List(ctx, platform.ClaimCollection, s.segmentPrefix(epoch))
	if err != nil {
		return
	}
	linked := linkedSegments(s.head)
	for _, o := range list.Items {
		if !linked[o.Name] && strings.HasPrefix(o.Name, s.segmentPrefix(epoch)) {
			s.garbage = append(s.garbage, segmentRef{Name: o.Name, Version: o.Version})
		}
	}
}

// isConflict reports whether another writer's append came first.
func isConflict(err error) bool {
	reason := platform.ReasonOf(err)
	return reason == platform.Conflict || reason == platform.Exists
}

func retryAfter(err error) time.Duration {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
