package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// direct forwards to a log in the same process.
type direct struct {
	to *Log
	// lose is the number of replies to come that are lost.
	lose  atomic.Int64
	after func()
	alter func([]Result)
}

func (d *direct) Local(int) bool { return false }

func (d *direct) Forward(ctx context.Context, _ int, claims []Claim) ([]Result, error) {
	answers, err := d.to.Serve(ctx, claims)
	if d.after != nil {
		d.after()
	}
	if d.lose.Add(-1) >= 0 {
		return nil, oops.Errorf("reply lost")
	}
	if d.alter != nil {
		d.alter(answers)
	}
	return answers, err
}

var _ = Describe("forwarding", func() {
	var (
		server  *platformstandin.Server
		writer  *Log
		forward *direct
		origin  *Log
	)

	BeforeEach(func() {
		server = platformstandin.New(platformstandin.Options{})
		writer = newLog(Options{Store: server.Store(), Daemon: "writer"})
		forward = &direct{to: writer}
		origin = newLog(Options{Store: server.Store(), Daemon: "origin", Forwarder: forward})
		forward.lose.Store(0)
		mustClaim(origin, aClaim("warm", "warm", "d"))
	})

	It("has the usual writer append, and the origin hold the claim", func() {
		verdict, holder := mustClaim(origin, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		Expect(holder.Daemon).To(Equal("origin"))
		Expect(holder.Fresh(time.Now())).To(BeTrue())
		Expect(origin.shards[0].version).To(BeZero())
		expectHeldBy(origin, "k", "r1")
		expectHeldBy(writer, "k", "r1")
		origin.Release(holder)
		Eventually(func() Outcome {
			verdict, _ := mustClaim(writer, aClaim("r2", "k", "d"))
			return verdict
		}).WithTimeout(patience).Should(Equal(Granted))
	})

	It("grants once when the reply of the usual writer is lost", func() {
		forward.lose.Store(1)
		verdict, _ := mustClaim(origin, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		expectHeldBy(writer, "k", "r1")
	})

	DescribeTable("never has the usual writer release the claim of an origin that went on by itself", func(lost int) {
		server.SetFaults(platformstandin.Faults{DelayMS: 50, LoseReplies: lost})
		brief := &direct{to: writer}
		c := newLog(Options{Store: server.Store(), Daemon: "c", Forwarder: cutShort{brief}})
		verdict, holder, err := c.Claim(context.Background(), aClaim("r1", "k", "d"))
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(Granted))
		Expect(holder.Daemon).To(Equal("c"))
		server.SetFaults(platformstandin.Faults{})
		for i := range 20 {
			mustClaim(writer, aClaim("x", fmt.Sprint("x", i), "d"))
			expectHeldBy(writer, "k", "r1")
		}
	}, Entry("while its append takes long", 0), Entry("after its append lost the reply", 1))

	It("frees a key whose forwarded claim lands after its origin has given up", func() {
		gate := &pausable{Store: server.Store()}
		slow := newLog(Options{Store: gate, Daemon: "slow"})
		origin := newLog(Options{Store: server.Store(), Daemon: "o2", Forwarder: &direct{to: slow}, Timeout: 300 * time.Millisecond})
		mustClaim(slow, aClaim("warm", "warm2", "d"))
		gate.pause()
		brief, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, _, err := origin.Claim(brief, aClaim("r1", "k", "d"))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
		Eventually(func() map[string]bool { return landed(server) }).WithTimeout(patience).Should(HaveKey("r1"), "revoked by the origin")
		gate.wake()
		mustClaim(slow, aClaim("x", "x", "d"))
		verdict, _ := mustClaim(writer, aClaim("r2", "k", "d"))
		Expect(verdict).To(Equal(Granted))
	})

	DescribeTable("decides by itself when an answer is not credible", func(alter func([]Result)) {
		forward.alter = alter
		verdict, _ := mustClaim(origin, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Granted))
		forward.alter = nil
		expectHeldBy(writer, "k", "r1")
	},
		Entry("granted to another", func(a []Result) { a[0].Holder.Nonce++ }),
		Entry("about another key", func(a []Result) { a[0].Holder.Key = "other" }),
		Entry("of an unknown verdict", func(a []Result) { a[0].Outcome = "" }),
	)

	It("refuses forwarded claims that can not be told apart", func() {
		_, err := writer.Serve(context.Background(), []Claim{{Workspace: "w", Key: "k", Digest: "d", RequestID: "r", Incarnation: "i"}})
		Expect(failure.CodeOf(err)).To(Equal(failure.InvalidRequest))
	})

	It("is refused by a usual writer whose platform is down, and asks the platform itself", func() {
		down := platformstandin.New(platformstandin.Options{})
		down.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
		cut := newLog(Options{Store: down.Store(), Daemon: "cut", Timeout: 100 * time.Millisecond})
		c := newLog(Options{Store: server.Store(), Daemon: "c", Forwarder: &direct{to: cut}})
		verdict, _ := mustClaim(c, aClaim("r1", "k", "d"))
		Expect(verdict).To(Equal(Granted))
	})
})

// cutShort ends each call early, while the usual writer is still at work.
type cutShort struct{ *direct }

func (c cutShort) Forward(ctx context.Context, shard int, claims []Claim) ([]Result, error) {
	brief, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	return c.direct.Forward(brief, shard, claims)
}

var _ platform.Store = &pausable{}
