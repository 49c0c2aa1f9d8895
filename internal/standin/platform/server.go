// Package platformstandin is an in-memory stand-in for the platform's object API
// with fault injection. It is for tests and for development on one machine.
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
	// DefaultHistory is the default number of changes kept for watches and stale reads.
	DefaultHistory = 10_000
	// DefaultBookmarkInterval is the default time without a change after which a watch sends a bookmark.
	DefaultBookmarkInterval = time.Second
	// readHeaderTimeout is the time limit for reading the header of a request.
	readHeaderTimeout = 10 * time.Second
)

// Operation names, used in errors and as keys of Stats, and further keys of Stats.
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

// Options configure a stand-in. The zero value is valid and requires no token.
type Options struct {
	// Token is the bearer token required of every HTTP call. Empty: no authentication.
	Token string
	// History is the number of changes kept. Default: DefaultHistory.
	History int
	// BookmarkInterval is the time without a change after which a watch sends a bookmark.
	// Default: DefaultBookmarkInterval.
	BookmarkInterval time.Duration
	// Clock is the time source. Default: the real clock.
	Clock clockwork.Clock
}

// Server is a stand-in for the platform. It is safe for concurrent use.
type Server struct {
	options Options
	history *history
	faults  *injector
	stats   *counters
	vms     *vmList
	duties  *dutyCalls
}

// New returns a stand-in without objects, VMs or faults.
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
		duties:  newDutyCalls(),
	}
}

// Store returns an in-process client. It is subject to the same faults as HTTP clients.
func (s *Server) Store() platform.Store { return inProcessStore{s} }

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	s.history.hideNext(f.SkipEvents)
	s.faults.set(f)
}

// Restore makes the platform come back from a copy of its state that is age old: what was
// written since is lost, versions go back and are assigned again, the era rises by one and
// open watches end. It returns the new era.
func (s *Server) Restore(age time.Duration) int64 {
	era := s.history.restore(s.options.Clock.Now().Add(-age))
	s.faults.cutWatches()
	return era
}

// Faults returns the current faults.
func (s *Server) Faults() Faults { return s.faults.get() }

// SetVMs replaces the list of VMs. Reads return the new list after lag.
func (s *Server) SetVMs(vms []platform.VM, lag time.Duration) {
	s.vms.set(vms, s.options.Clock.Now().Add(lag))
}

// Stats returns the number of calls by operation, including failed ones, and the
// numbers of rate-limited calls and lost responses.
func (s *Server) Stats() map[string]int64 { return s.stats.snapshot() }

// Serve serves HTTP on l until ctx ends, then closes l and returns nil.
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

// counters counts calls by operation.
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

// vmList is the list of VMs, with the pending changes that are not visible to reads yet.
type vmList struct {
	mu      sync.Mutex
	visible []platform.VM
	pending []vmChange
}

type vmChange struct {
	visibleAt time.Time
	vms       []platform.VM
}

func (l *vmList) set(vms []platform.VM, visibleAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{visibleAt: visibleAt, vms: slices.Clone(vms)})
}

// list applies the changes due by now and returns the visible VMs.
func (l *vmList) list(now time.Time) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.visible = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return slices.Clone(l.visible)
}
