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

// Outage is a failure mode of the entire platform.
type Outage string

const (
	// OutageNone serves calls normally.
	OutageNone Outage = ""
	// OutageRefuse fails each call with 503 and ends open watches; no write takes effect.
	OutageRefuse Outage = "refuse"
	// OutageHang blocks each call until the outage ends or the client disconnects;
	// a call whose client has disconnected has no effect. Watches stay open but send nothing.
	OutageHang Outage = "hang"
)

// Faults are the failures to inject. The zero value injects none.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// DelayMS delays each call, in milliseconds. A write takes effect after the
	// delay even if its client has disconnected.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseReplies is the number of upcoming writes that take effect but return no response.
	LoseReplies int `json:"lose_replies,omitempty"`
	// LoseReplyProbability is the probability, 0 to 1, that a write takes effect but
	// returns no response. Seed seeds the random source.
	LoseReplyProbability float64 `json:"lose_reply_probability,omitempty"`
	Seed                 uint64  `json:"seed,omitempty"`
	// CutWatches ends every watch that is open when these faults are set.
	CutWatches bool `json:"cut_watches,omitempty"`
	// SkipEvents is the number of upcoming changes that no watch delivers.
	SkipEvents int `json:"skip_events,omitempty"`
	// StaleVersions makes reads return the state of that many versions ago.
	StaleVersions int64 `json:"stale_versions,omitempty"`
	// StaleMS makes reads return the state of that many milliseconds ago.
	StaleMS int `json:"stale_ms,omitempty"`
	// WritesPerSecond and ReadsPerSecond are rate limits; zero means no limit.
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	// DutyOutage is an outage of the calls of duties alone: each is refused with 503 or gets no response.
	DutyOutage Outage `json:"duty_outage,omitempty"`
	// NoEndpoints refuses each order of endpoints with 409.
	NoEndpoints bool `json:"no_endpoints,omitempty"`
}

// burstSeconds is the burst size of a rate limit, in seconds of its rate; at least one call.
const burstSeconds = 0.1

// injector holds the current faults and applies them to calls and watches.
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
	i.writes = newLimiter(f.WritesPerSecond)
	i.reads = newLimiter(f.ReadsPerSecond)
	close(i.changed)
	i.changed = make(chan struct{})
	if f.CutWatches || f.Outage == OutageRefuse {
		i.cutLocked()
	}
}

// cutWatches ends every watch that is open now.
func (i *injector) cutWatches() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutLocked()
}

func (i *injector) cutLocked() {
	close(i.cut)
	i.cut = make(chan struct{})
}

// newLimiter returns a limiter for a rate; a rate of zero or less means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
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

// hangChannel returns a channel that closes when the faults change, or nil unless OutageHang is set.
func (i *injector) hangChannel() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.Outage != OutageHang {
		return nil
	}
	return i.changed
}

// cutChannel returns a channel that closes when the watches open now are cut.
func (i *injector) cutChannel() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cut
}

// awaitOutageEnd blocks during OutageHang. It returns the reason to fail a call with, or ""
// if the call may proceed. A call that fails here has had no effect.
func (i *injector) awaitOutageEnd(ctx context.Context) (platform.Reason, error) {
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

// retryAfter returns the retry-after delay of a call that exceeds its rate limit, or zero if
// the call is allowed. A rejected call uses up none of the rate.
func (i *injector) retryAfter(write bool) time.Duration {
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

// loseReply reports whether the current write loses its response, and counts down LoseReplies.
func (i *injector) loseReply() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseReplies > 0 {
		i.faults.LoseReplies--
		return true
	}
	return i.faults.LoseReplyProbability > 0 && i.random.Float64() < i.faults.LoseReplyProbability
}
