package claim

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// gatedStore runs a hook before each call of one kind. An error of the hook ends the call without an effect.
type gatedStore struct {
	platform.Store
	beforeGet func(ctx context.Context, name string) error
}

func gate(ctx context.Context, name string, hook func(context.Context, string) error) error {
	if hook == nil {
		return nil
	}
	return hook(ctx, name)
}

func (g *gatedStore) Get(ctx context.Context, collection, name string) (platform.Object, error) {
	if err := gate(ctx, name, g.beforeGet); err != nil {
		return platform.Object{}, err
	}
	return g.Store.Get(ctx, collection, name)
}

// asyncClaim claims in the background and sends the error, or nil.
func asyncClaim(ctx context.Context, l *Log, c Claim) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, _, err := l.Claim(ctx, c)
		result <- err
	}()
	return result
}

var _ = Describe("waits of a claim in the worst order", func() {
	var server *platformstandin.Server

	BeforeEach(func() { server = platformstandin.New(platformstandin.Options{}) })

	expectNotRun := func(err error) {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
	}

	It("end at its own context while another claim checks the layout", func() {
		held, release := make(chan struct{}), make(chan struct{})
		store := &gatedStore{Store: server.Store()}
		store.beforeGet = func(_ context.Context, name string) error {
			if name == layoutName {
				close(held)
				<-release
			}
			return nil
		}
		l := newLog(Options{Store: store, Daemon: "a", Timeout: time.Hour})
		first := asyncClaim(context.Background(), l, newClaim("r1", "k", "d"))
		<-held
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		second := asyncClaim(ctx, l, newClaim("r2", "k2", "d"))
		var err error
		Eventually(second).WithTimeout(eventuallyTimeout).Should(Receive(&err))
		expectNotRun(err)
		close(release)
		Eventually(first).WithTimeout(eventuallyTimeout).Should(Receive(BeNil()))
	})
})
