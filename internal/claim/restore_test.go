package claim

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	platformstandin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

var _ = Describe("a claim log whose platform came back from an older copy", func() {
	const attempts = 5

	var (
		server *platformstandin.Server
		a      *Log
	)

	// The copy lacks the last append of daemon a.
	BeforeEach(func() {
		clock := clockwork.NewFakeClock()
		server = platformstandin.New(platformstandin.Options{Clock: clock})
		a = newLog(Options{Store: server.Store(), Daemon: "a", Timeout: shortTimeout})
		mustClaim(a, newClaim("warm", "warm", "d"))
		clock.Advance(time.Second)
		mustClaim(a, newClaim("r1", "lost", "d"))
		server.Restore(time.Second / 2)
	})

	It("grants claims again", func() {
		var err error
		for range attempts {
			if _, _, err = a.Claim(context.Background(), newClaim("r2", "k", "d")); err == nil {
				break
			}
		}
		Expect(err).NotTo(HaveOccurred())
	})

	It("grants a key that was claimed since then once", func() {
		b := newLog(Options{Store: server.Store(), Daemon: "b"})
		outcome, _ := mustClaim(b, newClaim("r2", "k", "d"))
		Expect(outcome).To(Equal(Granted))
		expectHeldBy(a, "k", "r2")
	})
})
