package platformstandin

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// inProcess serves the Store interface without a network, with the same faults.
type inProcess struct{ s *Server }

var _ platform.Store = inProcess{}

type written struct {
	object platform.Object
	reason platform.Reason
}

// Get implements platform.Store.
func (p inProcess) Get(ctx context.Context, collection, name string) (platform.Object, error) {
	c := call{op: opGet, key: collection + "/" + name}
	if err := p.s.admit(ctx, c); err != nil {
		return platform.Object{}, err
	}
	o, ok := p.s.history.get(collection, name, p.s.readVersion())
	if !ok {
		return platform.Object{}, c.fail(platform.NotFound, nil)
	}
	return o, nil
}

// List implements platform.Store.
func (p inProcess) List(ctx context.Context, collection, prefix string) (platform.List, error) {
	if err := p.s.admit(ctx, call{op: opList, key: collection + "/" + prefix}); err != nil {
		return platform.List{}, err
	}
	return p.s.history.list(collection, prefix, p.s.readVersion()), nil
}

// Create implements platform.Store.
func (p inProcess) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	c := call{op: opCreate, key: o.Collection + "/" + o.Name, write: true}
	return p.s.write(ctx, c, len(o.Data), func(now time.Time) (platform.Object, platform.Reason) { return p.s.history.create(o, now) })
}

// Update implements platform.Store.
func (p inProcess) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	c := call{op: opUpdate, key: o.Collection + "/" + o.Name, write: true}
	return p.s.write(ctx, c, len(o.Data), func(now time.Time) (platform.Object, platform.Reason) { return p.s.history.update(o, now) })
}

// Delete implements platform.Store.
func (p inProcess) Delete(ctx context.Context, collection, name string, version int64) error {
	c := call{op: opDelete, key: collection + "/" + name, write: true}
	_, err := p.s.write(ctx, c, 0, func(now time.Time) (platform.Object, platform.Reason) {
		return platform.Object{}, p.s.history.remove(collection, name, version, now)
	})
	return err
}

// Watch implements platform.Store.
func (p inProcess) Watch(ctx context.Context, collection string, version int64) (platform.Watch, error) {
	c := call{op: opWatch, key: collection}
	if err := p.s.admit(ctx, c); err != nil {
		return nil, err
	}
	if _, _, _, ok := p.s.history.next(collection, version); !ok {
		return nil, c.fail(platform.TooOld, nil)
	}
	return p.s.newWatch(collection, version), nil
}

// VMs implements platform.Store.
func (p inProcess) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := p.s.admit(ctx, call{op: opVMs, key: opVMs}); err != nil {
		return nil, err
	}
	return p.s.vms.list(p.s.options.Clock.Now()), nil
}

// call describes one call for its errors and its counter.
type call struct {
	op    string
	key   string
	write bool
}

func (c call) fail(reason platform.Reason, cause error) *platform.Error {
	if !c.write && reason == platform.Uncertain {
		reason = platform.Unavailable
	}
	return &platform.Error{Reason: reason, Op: c.op, Key: c.key, Cause: cause}
}

// admit counts a call and applies outage, rate limit and, to reads, the delay.
func (s *Server) admit(ctx context.Context, c call) error {
	if ctx.Err() != nil {
		return c.fail(platform.Unavailable, ctx.Err())
	}
	s.stats.count(c.op)
	if reason, err := s.faults.outage(ctx); reason != "" {
		return c.fail(reason, err)
	}
	if wait := s.faults.limit(c.write); wait > 0 {
		s.stats.count(statRateLimited)
		e := c.fail(platform.RateLimited, nil)
		e.RetryAfter = wait
		return e
	}
	if delay := s.delay(); delay > 0 && !c.write {
		select {
		case <-ctx.Done():
			return c.fail(platform.Unavailable, ctx.Err())
		case <-s.options.Clock.After(delay):
		}
	}
	return nil
}

// write applies a write. After a delay it takes effect even if ctx has ended.
func (s *Server) write(ctx context.Context, c call, size int, apply func(time.Time) (platform.Object, platform.Reason)) (platform.Object, error) {
	if size > platform.MaxObjectBytes {
		return platform.Object{}, c.fail(platform.Invalid, oops.Errorf("%d bytes exceed the limit of %d", size, platform.MaxObjectBytes))
	}
	if err := s.admit(ctx, c); err != nil {
		return platform.Object{}, err
	}
	var w written
	if delay := s.delay(); delay > 0 {
		done := make(chan written, 1)
		due := s.options.Clock.After(delay)
		go func() {
			<-due
			o, reason := apply(s.options.Clock.Now())
			done <- written{o, reason}
		}()
		select {
		case <-ctx.Done():
			return platform.Object{}, c.fail(platform.Uncertain, ctx.Err())
		case w = <-done:
		}
	} else {
		w.object, w.reason = apply(s.options.Clock.Now())
	}
	if s.faults.loseReply() {
		s.stats.count(statLostReplies)
		return platform.Object{}, c.fail(platform.Uncertain, oops.Errorf("reply lost"))
	}
	if w.reason != "" {
		return platform.Object{}, c.fail(w.reason, nil)
	}
	return w.object, nil
}

func (s *Server) delay() time.Duration {
	return time.Duration(s.faults.get().DelayMS) * time.Millisecond
}

func (s *Server) readVersion() int64 {
	f := s.faults.get()
	var before time.Time
	if f.StaleMS > 0 {
		before = s.options.Clock.Now().Add(-time.Duration(f.StaleMS) * time.Millisecond)
	}
	return s.history.staleVersion(f.StaleVersions, before)
}
