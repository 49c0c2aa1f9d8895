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

// runningClock returns a fake clock that also advances by itself until stop is closed, so
// that the short waits between attempts end.
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

// specClock returns a clock that runs until the spec ends.
func specClock() *clockwork.FakeClock {
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	return runningClock(stop)
}

// pausableStore blocks the writes of one daemon, as a suspended process or a slow network
// would. A blocked write goes out with the version it was made with, even if its caller has
// stopped waiting.
type pausableStore struct {
	platform.Store
	mu      sync.Mutex
	resumed chan struct{}
}

func (p *pausableStore) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *pausableStore) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *pausableStore) waitForResume(ctx context.Context) context.Context {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed == nil {
		return ctx
	}
	<-resumed
	return context.WithoutCancel(ctx)
}

func (p *pausableStore) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	return p.Store.Create(p.waitForResume(ctx), o)
}

func (p *pausableStore) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	return p.Store.Update(p.waitForResume(ctx), o)
}

// unconditionalStore disables the condition that the log depends on: an update replaces any
// version.
type unconditionalStore struct{ platform.Store }

func (u unconditionalStore) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	current, err := u.Get(ctx, o.Collection, o.Name)
	if err != nil {
		return platform.Object{}, err
	}
	o.Version = current.Version
	return u.Store.Update(ctx, o)
}

// hidingStore answers the first reads of segments as if they did not exist yet.
type hidingStore struct {
	platform.Store
	remaining int
}

func (h *hidingStore) Get(ctx context.Context, collection, name string) (platform.Object, error) {
	if name != layoutName && name != headName(0) && h.remaining > 0 {
		h.remaining--
		return platform.Object{}, &platform.Error{Reason: platform.NotFound, Op: "get", Key: name}
	}
	return h.Store.Get(ctx, collection, name)
}

// loggedRequests returns every request whose claim or release was ever in the log.
func loggedRequests(server *platformstandin.Server) map[string]bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	seen := (&recorder{}).observe(ctx, server)
	return lo.MapValues(lo.Assign(seen.claimed, seen.released), func(int64, string) bool { return true })
}
