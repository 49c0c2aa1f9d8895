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
	// headPrefix starts the names of heads; the seals of a shard have its head's name and a dot first.
	headPrefix = "shard-"
	// collectAtOnce bounds the objects removed between two batches.
	collectAtOnce = 16
	// maxGarbage is how many objects may wait for removal while claims keep coming.
	maxGarbage = 64
)

func headName(number int) string { return fmt.Sprintf("%s%03d", headPrefix, number) }

// refresh reads the head, at minVersion or later. A stale reading is an error, to be
// tried again.
func (s *shard) refresh(ctx context.Context) error {
	s.log.metrics.reads.Inc(1)
	o, err := s.log.store.Get(ctx, platform.ClaimCollection, s.name)
	if platform.ReasonOf(err) == platform.NotFound && s.head == nil {
		// If the reading is stale, the create fails and the shard reads again.
		s.adopt(&head{}, 0)
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
		s.log.options.Logger.WithError(err).WithField("object", s.name).Error("claim log head does not decode")
		return err
	}
	s.adopt(h, o.Version)
	return nil
}

// write replaces the head at the known version, or creates it.
func (s *shard) write(ctx context.Context, h *head) (int64, error) {
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

// adopt makes h the known head. A newer version settles every append that was tried
// at the one before: seals made for it and not linked now will never be.
func (s *shard) adopt(h *head, version int64) {
	if s.head == nil || s.head.Epoch != h.Epoch {
		s.epochLearned = s.log.now()
	}
	newer := version > s.version
	s.head, s.version, s.behind = h, version, false
	s.index = make(map[string]int, len(h.tail))
	for i, l := range h.tail {
		s.index[l.keyID()] = i
	}
	linked := linkedNames(h)
	for name := range s.filters {
		if !linked[name] {
			delete(s.filters, name)
		}
	}
	if !newer {
		return
	}
	s.garbage = append(s.garbage, lo.Reject(s.orphans, func(r sealRef, _ int) bool { return linked[r.Name] })...)
	s.orphans = nil
}

func linkedNames(h *head) map[string]bool {
	return lo.SliceToMap(h.Seals, func(r sealRef) (string, bool) { return r.Name, true })
}

// collect removes objects that no head will link again, a few at a time, and returns
// whether more are left. It is best effort: what a crash leaves behind is found by
// the sweep of its epoch.
func (s *shard) collect(ctx context.Context) bool {
	if len(s.garbage) == 0 && s.sweep < 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.log.options.Timeout)
	defer cancel()
	if epoch := s.sweep; epoch >= 0 {
		s.sweep = -1
		s.sweepEpoch(ctx, epoch)
		s.sweepEpoch(ctx, epoch-epochsKept)
	}
	n := min(collectAtOnce, len(s.garbage))
	for _, r := range s.garbage[:n] {
		_ = s.log.store.Delete(ctx, platform.ClaimCollection, r.Name, r.Version)
	}
	s.garbage = s.garbage[n:]
	return len(s.garbage) > 0
}

// sweepEpoch finds the seals that were created in a past epoch and are not linked.
// A seal is linked by a head of the epoch in its name or never, so one that the head
// of a later epoch does not link is garbage for good.
func (s *shard) sweepEpoch(ctx context.Context, epoch int64) {
	if epoch < 0 || epoch >= s.head.Epoch {
		return
	}
	list, err := s.log.store.List(ctx, platform.ClaimCollection, s.sealPrefix(epoch))
	if err != nil {
		return
	}
	linked := linkedNames(s.head)
	for _, o := range list.Items {
		if !linked[o.Name] && strings.HasPrefix(o.Name, s.sealPrefix(epoch)) {
			s.garbage = append(s.garbage, sealRef{Name: o.Name, Version: o.Version})
		}
	}
}

// isLost reports whether another writer's append came first.
func isLost(err error) bool {
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
