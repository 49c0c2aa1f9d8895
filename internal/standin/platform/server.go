// Package platformstandin is an in-memory stand-in for the platform's object API,
// with faults to inject. It is for tests and for development on one machine.
package platformstandin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
)

const (
	// DefaultHistory is how many changes are kept for watches and stale reads.
	DefaultHistory = 10_000
	// DefaultBookmarkInterval is the time between the bookmarks of a watch.
	DefaultBookmarkInterval = time.Second
	// readHeaderTimeout bounds how long a client may take to send its header.
	readHeaderTimeout = 10 * time.Second
)

// Names of calls, as they appear in errors and in Stats.
const (
	opGet           = "get"
	opList          = "list"
	opCreate        = "create"
	opUpdate        = "update"
	opDelete        = "delete"
	opWatch         = "watch"
	opVMs           = "vms"
	statRateLimited = "rate_limited"
	statLostReplies = "lost_replies"
)

// Options configure a stand-in. The zero value serves without a token.
type Options struct {
	// Token is the bearer token that every HTTP call must carry, if it is not empty.
	Token string
	// History is the number of changes kept. Default: DefaultHistory.
	History int
	// BookmarkInterval is the time between bookmarks. Default: DefaultBookmarkInterval.
	BookmarkInterval time.Duration
	// Clock is the time source. Default: the real clock.
	Clock clockwork.Clock
}

// Server is one stand-in. All methods may be called concurrently.
type Server struct {
	options Options
	history *history
	faults  *injector
	stats   *counters
	vms     *vmList
}

// New returns an empty platform.
func New(options Options) *Server {
	options.History = lo.CoalesceOrEmpty(options.History, DefaultHistory)
	options.BookmarkInterval = lo.CoalesceOrEmpty(options.BookmarkInterval, DefaultBookmarkInterval)
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	return &Server{
		options: options,
		history: newHistory(options.History),
		faults:  newInjector(options.Clock),
		stats:   &counters{counts: map[string]int64{}},
		vms:     &vmList{},
	}
}

// Store returns an in-process client. It meets the same faults as HTTP clients.
func (s *Server) Store() platform.Store { return inProcess{s} }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.history.hideNext(f.SkipEvents)
	s.faults.set(f)
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.faults.get() }

// SetVMs replaces the list of VMs; readers see the change after lag.
func (s *Server) SetVMs(vms []platform.VM, lag time.Duration) {
	s.vms.set(vms, s.options.Clock.Now().Add(lag))
}

// Stats returns the number of calls of each kind so far, those that failed included.
func (s *Server) Stats() map[string]int64 { return s.stats.snapshot() }

// Serve answers HTTP calls on l until ctx ends, and closes l.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// counters counts calls by kind.
type counters struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (c *counters) count(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
}

func (c *counters) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lo.Assign(c.counts)
}

// vmList is the list of VMs with the changes that readers do not see yet.
type vmList struct {
	mu      sync.Mutex
	visible []platform.VM
	pending []vmChange
}

type vmChange struct {
	at  time.Time
	vms []platform.VM
}

func (l *vmList) set(vms []platform.VM, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{at: at, vms: slices.Clone(vms)})
}

func (l *vmList) list(now time.Time) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.visible = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return slices.Clone(l.visible)
}
