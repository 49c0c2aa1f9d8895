package claim

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// runningClock is a fake clock that also runs by itself, so that the short waits
// between tries pass, until stop is closed.
func runningClock(stop <-chan struct{}) *clockwork.FakeClock {
	clock := clockwork.NewFakeClock()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Microsecond):
				clock.Advance(time.Millisecond)
			}
		}
	}()
	return clock
}

// specClock runs until the spec ends.
func specClock() *clockwork.FakeClock {
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	return runningClock(stop)
}

// pausable blocks the writes of one daemon, as a frozen process or a slow network
// would. A blocked write goes out with the version it was made with, even if its
// caller has given up.
type pausable struct {
	platform.Store
	mu     sync.Mutex
	resume chan struct{}
}

func (p *pausable) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

func (p *pausable) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

func (p *pausable) wait(ctx context.Context) context.Context {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume == nil {
		return ctx
	}
	<-resume
	return context.WithoutCancel(ctx)
}

func (p *pausable) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	return p.Store.Create(p.wait(ctx), o)
}

func (p *pausable) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	return p.Store.Update(p.wait(ctx), o)
}

// unconditional switches the log's mechanism off: an update replaces any version.
type unconditional struct{ platform.Store }

func (u unconditional) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	current, err := u.Get(ctx, o.Collection, o.Name)
	if err != nil {
		return platform.Object{}, err
	}
	o.Version = current.Version
	return u.Store.Update(ctx, o)
}

// hiding answers the first readings of seals as if they did not exist yet.
type hiding struct {
	platform.Store
	left int
}

func (h *hiding) Get(ctx context.Context, collection, name string) (platform.Object, error) {
	if name != layoutName && name != headName(0) && h.left > 0 {
		h.left--
		return platform.Object{}, &platform.Error{Reason: platform.NotFound, Op: "get", Key: name}
	}
	return h.Store.Get(ctx, collection, name)
}

// landed returns every request whose claim or release was ever in the log.
func landed(server *platformstandin.Server) map[string]bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	seen := (&recorder{}).observe(ctx, server)
	return lo.MapValues(lo.Assign(seen.claimed, seen.released), func(int64, string) bool { return true })
}
