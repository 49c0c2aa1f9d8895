package peer_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/peer"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/standin/relay"
)

type echo struct {
	heartbeat membership.Heartbeat
	reports   []routing.Report
	running   []routing.Progress
	ask       routing.PermitRequest
	left      chan struct{}
	err       error
}

func (e *echo) Receive(_ context.Context, h membership.Heartbeat) (membership.Heartbeat, error) {
	e.heartbeat = h
	return h, nil
}

func (e *echo) FetchConfig(context.Context, int64) (distribution.Delta, error) {
	return distribution.Delta{
		Revision: 9, Full: true,
		Records: []catalog.Record{{Kind: catalog.KindProfile, Name: "p", Version: 8, ChangeID: "c", ChangedBy: "o", Spec: []byte(`{}`)}},
		Deleted: []distribution.Tombstone{{Kind: catalog.KindService, Name: "s", Version: 9}},
	}, nil
}

func (e *echo) AcquireFor(ctx context.Context, ask routing.PermitRequest) (routing.Grant, error) {
	e.ask = ask
	if e.err != nil {
		return routing.Grant{}, e.err
	}
	if ask.ID == "wait" {
		<-ctx.Done()
		close(e.left)
		return routing.Grant{}, failure.New(failure.ClientGone, "left")
	}
	return routing.Grant{
		AttemptID: ask.ID, Priority: 3, Broker: "b/1", QueueWait: time.Millisecond, Alternatives: 4, Reason: "cache", HedgeAfter: time.Second,
		Endpoint: catalog.Endpoint{Name: "e", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", MaxConcurrent: 5, Leaving: true},
	}, nil
}

func (e *echo) ReleaseFor(_ context.Context, reports []routing.Report) error {
	e.reports = reports
	return nil
}

func (e *echo) ProgressFor(_ context.Context, _, _ string, running []routing.Progress) error {
	e.running = running
	return nil
}

var fullAsk = routing.PermitRequest{
	ID: "a", RequestID: "r", Daemon: "d", Pool: "p", Workspace: "w", Weight: 2, Profile: "f", Class: "c", Tier: 2, FloorPercent: 2.5,
	Waited: time.Millisecond, Target: catalog.Target{FirstTokenMS: 1, BetweenTokensMS: 2, CompleteMS: 3}, MaxWait: time.Second,
	PromptTokens: 10, MaxOutputTokens: 20, Prefix: []uint64{1, 1 << 63}, Digest: "x", Repeatable: true, Suspect: true, Avoid: []string{"e1"}, Attempt: 2,
}

var _ = Describe("Client and Server", func() {
	const key = "shared"
	var (
		ctx     context.Context
		handler *echo
		address string
		client  *peer.Client
	)

	BeforeEach(func() {
		ctx = context.Background()
		handler = &echo{left: make(chan struct{})}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		server := peer.NewServer(peer.ServerOptions{Key: key, Handlers: peer.Handlers{
			Members: handler, Config: handler, Pools: handler,
			StoredResponses: func(_ context.Context, workspace, k string) ([]byte, bool, error) {
				return []byte(workspace + k), true, nil
			},
			Claims: func(_ context.Context, claims []claim.Claim) []peer.ClaimResult {
				return []peer.ClaimResult{
					{Outcome: claim.Held, Holder: claims[0]},
					{Err: failure.New(failure.PlatformUnavailable, "down").WithRetryAfter(time.Second)},
				}
			},
		}})
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		client = peer.NewClient(peer.ClientOptions{Key: key})
		DeferCleanup(client.Close)
	})

	It("carries every field of every message", func() {
		h := membership.Heartbeat{
			Sender: membership.MemberUpdate{Sequence: 4, Member: membership.Member{
				ID: "m", Incarnation: "i", PeerAddress: "p", AdminAddress: "a", DataCentre: "d", State: membership.Leaving, Revision: 7, ConfigDigest: 1 << 63,
			}},
			Updates:     []membership.MemberUpdate{{Sequence: 1, Member: membership.Member{ID: "n", State: membership.Suspected}}},
			Unreachable: []string{"u"}, FullSync: true, Superseded: true,
			Payload: membership.Payload{
				Quarantine: []quarantine.Entry{{
					Digest: "q", State: quarantine.Suspect, ExpiresIn: time.Minute,
					Crashes: []quarantine.Crash{{Endpoint: "e", Total: 2, Cleared: 1}},
				}},
				QuarantineVersion: 5, QuarantineAck: 6,
				Running: []membership.RunningDigest{{Pool: "p", Count: 2, Digest: 1 << 63}}, Restate: []string{"s"},
			},
		}
		Expect(client.Heartbeat(ctx, address, h)).To(Equal(h))

		grant, err := client.Acquire(ctx, address, fullAsk)
		Expect(err).NotTo(HaveOccurred())
		Expect(handler.ask).To(Equal(fullAsk))
		Expect(grant).To(Equal(must(handler.AcquireFor(ctx, fullAsk))))

		report := routing.Report{
			AttemptID: "a", RequestID: "r", Pool: "p", Endpoint: "e", Workspace: "w", Profile: "f", Class: "c", Result: routing.ResultCrashed,
			Digest: "x", FirstToken: time.Millisecond, TokenGap: 2 * time.Millisecond, Elapsed: time.Second, PromptTokens: 1, OutputTokens: 2, CachedTokens: 3,
		}
		Expect(client.Release(ctx, address, []routing.Report{report})).To(Succeed())
		Expect(handler.reports).To(Equal([]routing.Report{report}))

		progress := routing.Progress{AttemptID: "a", Endpoint: "e", Elapsed: time.Second, OutputTokens: 3, Request: fullAsk}
		Expect(client.Progress(ctx, address, "d", "p", []routing.Progress{progress})).To(Succeed())
		Expect(handler.running).To(Equal([]routing.Progress{progress}))

		Expect(client.FetchConfig(ctx, address, 3)).To(Equal(must(handler.FetchConfig(ctx, 3))))
	})

	It("carries answers, and claims with their failures", func() {
		answer, found, err := client.FetchAnswer(ctx, address, "w", "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(answer).To(Equal([]byte("wk")))
		c := claim.Claim{Workspace: "w", Key: "k", Digest: "d", RequestID: "r", Daemon: "m", Incarnation: "i", Nonce: 7}
		results, err := client.ForwardClaims(ctx, address, []claim.Claim{c, c})
		Expect(err).NotTo(HaveOccurred())
		Expect(results[0]).To(Equal(peer.ClaimResult{Outcome: claim.Held, Holder: c}))
		Expect(failure.From(results[1].Err)).To(Equal(failure.New(failure.PlatformUnavailable, "down").WithRetryAfter(time.Second)))
	})

	It("carries a failure whole", func() {
		want := failure.New(failure.Overloaded, "too much").WithOutcome(failure.NotRun).WithRetryAfter(1500 * time.Millisecond)
		handler.err = want
		_, err := client.Acquire(ctx, address, fullAsk)
		Expect(failure.From(err)).To(Equal(want))
	})

	It("refuses a wrong and a missing key", func() {
		for _, wrong := range []string{"", "other"} {
			c := peer.NewClient(peer.ClientOptions{Key: wrong})
			_, err := c.Acquire(ctx, address, fullAsk)
			Expect(failure.CodeOf(err)).To(Equal(failure.Unauthenticated))
			_, err = c.Status(ctx, address)
			Expect(failure.CodeOf(err)).To(Equal(failure.Unauthenticated))
			c.Close()
		}
		Expect(handler.ask.ID).To(BeEmpty())
	})

	It("says not_found for a part that the daemon lacks, and peer_unreachable for no daemon", func() {
		_, err := client.Status(ctx, address)
		Expect(failure.CodeOf(err)).To(Equal(failure.NotFound))
		_, err = client.Status(ctx, "127.0.0.1:1")
		Expect(failure.CodeOf(err)).To(Equal(failure.PeerUnreachable))
	})

	It("takes a waiting ask out at once when its caller leaves", func() {
		bounded, cancel := context.WithCancel(ctx)
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := client.Acquire(bounded, address, routing.PermitRequest{ID: "wait"})
		Expect(failure.CodeOf(err)).To(Equal(failure.ClientGone))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
		Eventually(handler.left, time.Second).Should(BeClosed())
	})

	It("waits for as long as the daemon lives, and ends when its connection falls silent", func() {
		mesh := relay.NewMesh()
		DeferCleanup(mesh.Close)
		c := peer.NewClient(peer.ClientOptions{Key: key, SilenceTimeout: 200 * time.Millisecond, Dial: mesh.Dialer("a")})
		DeferCleanup(c.Close)
		done := make(chan error, 1)
		go func() {
			_, err := c.Acquire(ctx, address, routing.PermitRequest{ID: "wait"})
			done <- err
		}()
		Consistently(done, time.Second).ShouldNot(Receive())
		mesh.Cut("a", address, relay.Backward)
		var err error
		Eventually(done, 5*time.Second).Should(Receive(&err))
		Expect(failure.CodeOf(err)).To(Equal(failure.PeerUnreachable))
	})
})

func must[T any](v T, err error) T {
	Expect(err).NotTo(HaveOccurred())
	return v
}
