package claim

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// schedule is a generated run: several daemons on one log, one operation at a time.
type schedule struct {
	*rapid.T
	g              gomega.Gomega
	clock          *clockwork.FakeClock
	server         *platformstandin.Server
	logs           []*Log
	cancel         []context.CancelFunc
	stopped        chan struct{}
	daemonsStarted int
	claims         int
	holders        map[string]Claim
	grantedAt      map[string]time.Time
}

const propertyRetention = time.Hour

func newSchedule(t *rapid.T) *schedule {
	s := &schedule{
		T: t, holders: map[string]Claim{}, grantedAt: map[string]time.Time{},
		g:       gomega.NewGomega(func(message string, _ ...int) { t.Fatalf("%s", message) }),
		server:  platformstandin.New(platformstandin.Options{History: 100}),
		stopped: make(chan struct{}),
	}
	s.clock = runningClock(s.stopped)
	for range 3 {
		s.startDaemon()
	}
	return s
}

func (s *schedule) stop() {
	for _, cancel := range s.cancel {
		cancel()
	}
	close(s.stopped)
}

func (s *schedule) startDaemon() {
	s.daemonsStarted++
	ctx, cancel := context.WithCancel(context.Background())
	name := fmt.Sprint("d", s.daemonsStarted)
	l, err := New(ctx, Options{
		Store: s.server.Store(), Daemon: name, Incarnation: name, Shards: 1, Clock: s.clock,
		Retention: propertyRetention, AppendInterval: time.Nanosecond, Timeout: 3 * time.Second,
	})
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.logs = append(s.logs, l)
	s.cancel = append(s.cancel, cancel)
}

func (s *schedule) log() *Log { return s.logs[rapid.IntRange(0, len(s.logs)-1).Draw(s.T, "daemon")] }

// claim makes a claim and compares the result with the model. Within the retention a held
// key must be found; after it the key may be held or free.
func (s *schedule) claim() {
	key := fmt.Sprint("k", rapid.IntRange(0, 30).Draw(s.T, "key"))
	digest := fmt.Sprint("b", rapid.IntRange(0, 4).Draw(s.T, "digest")/4)
	s.claims++
	s.clock.Advance(time.Microsecond)
	l := s.log()
	c := newClaim(fmt.Sprintf("r%d-%s", s.claims, strings.Repeat("x", 600)), key, digest)
	outcome, holder, err := l.Claim(context.Background(), c)
	s.must(err)
	expected, held := s.holders[key]
	if outcome == Granted {
		s.g.Expect(!held || s.clock.Since(s.grantedAt[key]) >= propertyRetention).To(gomega.BeTrue(), "granted twice")
		s.holders[key], s.grantedAt[key] = holder, s.clock.Now()
		return
	}
	s.g.Expect(held).To(gomega.BeTrue(), "reported as held, but free in the model")
	s.g.Expect(holder.RequestID).To(gomega.Equal(expected.RequestID))
	s.g.Expect(outcome == Held).To(gomega.Equal(expected.Digest == digest))
}

// release ends a claim of a daemon that still runs, and makes another claim so that the
// release takes effect.
func (s *schedule) release() {
	for _, l := range s.logs {
		for _, key := range slices.Sorted(maps.Keys(s.holders)) {
			holder := s.holders[key]
			if holder.Incarnation != l.options.Incarnation {
				continue
			}
			l.Release(holder)
			delete(s.holders, key)
			s.clock.Advance(time.Microsecond)
			_, _, err := l.Claim(context.Background(), newClaim("after", fmt.Sprint("after", s.claims, s.clock.Now()), "d"))
			s.must(err)
			return
		}
	}
}

func (s *schedule) must(err error) {
	if err != nil {
		s.Fatalf("claim failed: %v", err)
	}
}

func (s *schedule) restart() {
	at := rapid.IntRange(0, len(s.logs)-1).Draw(s.T, "stopped")
	s.cancel[at]()
	s.logs = append(s.logs[:at], s.logs[at+1:]...)
	s.cancel = append(s.cancel[:at], s.cancel[at+1:]...)
	s.startDaemon()
}

var _ = Describe("generated schedules", func() {
	It("keep a key for its retention and grant it to one claim at a time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := newSchedule(t)
			defer s.stop()
			for range 60 {
				switch rapid.IntRange(0, 19).Draw(t, "step") {
				case 0:
					s.restart()
				case 1, 2:
					s.release()
				case 3, 4:
					s.clock.Advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "minutes")) * time.Minute)
				default:
					for range 4 {
						s.claim()
					}
				}
			}
		})
	})
})
