package platformstandin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// Outage is a way in which the whole platform fails.
type Outage string

const (
	// OutageNone means that calls are served.
	OutageNone Outage = ""
	// OutageRefuse answers each call with 503 and ends watches; nothing takes effect.
	OutageRefuse Outage = "refuse"
	// OutageHang answers nothing until the outage ends or the client leaves;
	// a call whose client has left takes no effect. Watches fall silent.
	OutageHang Outage = "hang"
)

// Faults are the failures to inject. The zero value injects none.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// DelayMS delays each call, in milliseconds. A write takes effect after the
	// delay even if its client has left.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseReplies is the number of writes to come that take effect without a reply.
	LoseReplies int `json:"lose_replies,omitempty"`
	// LoseReplyProbability is the share of writes, 0 to 1, that take effect without
	// a reply, drawn from a source seeded by Seed.
	LoseReplyProbability float64 `json:"lose_reply_probability,omitempty"`
	Seed                 uint64  `json:"seed,omitempty"`
	// CutWatches ends every watch that is open when the faults are set.
	CutWatches bool `json:"cut_watches,omitempty"`
	// SkipEvents is the number of changes to come that no watch delivers.
	SkipEvents int `json:"skip_events,omitempty"`
	// StaleVersions makes reads answer as of that many versions ago.
	StaleVersions int64 `json:"stale_versions,omitempty"`
	// StaleMS makes reads answer as of that many milliseconds ago.
	StaleMS int `json:"stale_ms,omitempty"`
	// WritesPerSecond and ReadsPerSecond limit the rates; zero means no limit.
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
}

// burstSeconds is how much of a rate limit may be used at once.
const burstSeconds = 0.1

// injector applies the faults that are set.
type injector struct {
	clock clockwork.Clock

	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	writes  *rate.Limiter
	reads   *rate.Limiter
	changed chan struct{} // Closed and replaced when faults are set.
	cut     chan struct{} // Closed and replaced when watches are cut.
}

func newInjector(clock clockwork.Clock) *injector {
	i := &injector{clock: clock, changed: make(chan struct{}), cut: make(chan struct{})}
	i.set(Faults{})
	return i
}

func (i *injector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.random = rand.New(rand.NewPCG(f.Seed, 0))
	i.writes = limiter(f.WritesPerSecond)
	i.reads = limiter(f.ReadsPerSecond)
	close(i.changed)
	i.changed = make(chan struct{})
	if f.CutWatches || f.Outage == OutageRefuse {
		close(i.cut)
		i.cut = make(chan struct{})
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// silence returns a channel that closes when the faults change, if watches are silent.
func (i *injector) silence() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.Outage != OutageHang {
		return nil
	}
	return i.changed
}

func (i *injector) cutChannel() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cut
}

// outage waits or refuses while an outage lasts. The call has had no effect.
func (i *injector) outage(ctx context.Context) (platform.Reason, error) {
	for {
		i.mu.Lock()
		mode, changed := i.faults.Outage, i.changed
		i.mu.Unlock()
		switch mode {
		case OutageRefuse:
			return platform.Unavailable, nil
		case OutageHang:
			select {
			case <-ctx.Done():
				return platform.Uncertain, ctx.Err()
			case <-changed:
			}
		default:
			return "", nil
		}
	}
}

// limit returns how long to stay away if a call exceeds its rate.
func (i *injector) limit(write bool) time.Duration {
	i.mu.Lock()
	l := i.reads
	if write {
		l = i.writes
	}
	i.mu.Unlock()
	now := i.clock.Now()
	r := l.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

func (i *injector) loseReply() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseReplies > 0 {
		i.faults.LoseReplies--
		return true
	}
	return i.faults.LoseReplyProbability > 0 && i.random.Float64() < i.faults.LoseReplyProbability
}
