package distribution_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
	standin "github.com/primrosewell/primrosewell/internal/standin/platform"
)

// convergenceTimeout bounds the time until an accepted change is in force on every daemon.
const convergenceTimeout = 6 * time.Second

func profile(name string, firstTokenMS int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"tier":1,"target":{"first_token_ms":%d}}`, name, firstTokenMS)
}

func changedBy(operator string) distribution.WriteOptions {
	return distribution.WriteOptions{ChangedBy: operator}
}

// putDirectly writes to the platform without going through a daemon, as other tools of
// the operators may.
func putDirectly(p *standin.Server, name string, ms int) int64 {
	GinkgoHelper()
	data, err := json.Marshal(catalog.Record{Kind: catalog.KindProfile, Name: name, ChangeID: name, Spec: profile(name, ms)})
	Expect(err).NotTo(HaveOccurred())
	o, err := p.Store().Create(context.Background(), platform.Object{Collection: platform.ConfigCollection, Name: "profile." + name, Data: data})
	Expect(err).NotTo(HaveOccurred())
	return o.Version
}

var _ = Describe("Distributor", func() {
	ctx := context.Background()

	It("reports on how many daemons an accepted change is in force", func() {
		i := newInstallation("a", "b", "c", "d")
		i.awaitReady()
		result, err := i.get("a").distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 380), changedBy("op"))
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(distribution.ApplyResult{Name: "pilot", Revision: result.Version, Version: result.Version, InForce: 4, Members: 4}))
		for _, d := range i.all() {
			Expect(d.version(catalog.KindProfile, "pilot")()).To(Equal(result.Version))
		}
		deleted, err := i.get("b").distributor.Delete(ctx, catalog.KindProfile, "pilot", changedBy("op"))
		Expect(err).NotTo(HaveOccurred())
		Expect(deleted.InForce).To(Equal(4))
		for _, d := range i.all() {
			Expect(d.version(catalog.KindProfile, "pilot")()).To(BeZero())
		}
	})

	It("lists the daemon that does not report the change as missing", func() {
		i := newInstallation("a", "b", "c")
		i.awaitReady()
		i.mu.Lock()
		c := i.daemons["c"]
		delete(i.daemons, "c") // Its last reported revision remains, and fetches from it fail.
		i.mu.Unlock()
		DeferCleanup(c.stop)
		c.stop()
		result, err := i.get("a").distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 380), changedBy("op"))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Missing).To(Equal([]string{"c"}))
		Expect(result.InForce).To(Equal(2))
		Expect(result.Members).To(Equal(3))
	})

	DescribeTable("installs a change that the watch does not deliver",
		func(breakWatch func(i *installation)) {
			i := newInstallation("a", "b", "c")
			i.awaitReady()
			Eventually(func() int64 { return i.platform.Stats()["watch"] }, convergenceTimeout).Should(BeNumerically(">=", 2))
			breakWatch(i)
			version := putDirectly(i.platform, "pilot", 380)
			for _, d := range i.all() {
				Eventually(d.version(catalog.KindProfile, "pilot"), convergenceTimeout).Should(Equal(version))
				Expect(d.observedRegressions()).To(BeEmpty())
			}
		},
		Entry("closed", func(i *installation) { i.platform.SetFaults(standin.Faults{CutWatches: true}) }),
		Entry("with a gap", func(i *installation) { i.platform.SetFaults(standin.Faults{SkipEvents: 1}) }),
		Entry("silent", func(i *installation) {
			for _, d := range i.all() {
				d.store.blockWatches.Store(true)
			}
		}),
	)

	It("does not revert to the state of a stale read", func() {
		i := newInstallation("a", "b", "c")
		i.awaitReady()
		for n := range 5 {
			_, err := i.get("a").distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 100+n), changedBy("op"))
			Expect(err).NotTo(HaveOccurred())
		}
		version := i.get("a").version(catalog.KindProfile, "pilot")()
		i.platform.SetFaults(standin.Faults{StaleVersions: 3, CutWatches: true})
		for _, d := range i.all() {
			Consistently(d.version(catalog.KindProfile, "pilot"), time.Second).Should(Equal(version))
			Expect(d.observedRegressions()).To(BeEmpty())
		}
	})

	It("loads the configuration from peers when a daemon starts during a platform outage", func() {
		i := newInstallation("a", "b")
		i.awaitReady()
		result, err := i.get("a").distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 380), changedBy("op"))
		Expect(err).NotTo(HaveOccurred())
		i.platform.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
		c := i.start("c")
		Eventually(c.distributor.Ready, convergenceTimeout).Should(BeTrue())
		Expect(c.version(catalog.KindProfile, "pilot")()).To(Equal(result.Version))
		Expect(c.distributor.Status().PlatformReachable).To(BeFalse())
	})

	It("is not ready while its revision is lower than that of other members", func() {
		i := newInstallation("a", "b")
		i.awaitReady()
		result, err := i.get("a").distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 380), changedBy("op"))
		Expect(err).NotTo(HaveOccurred())
		i.platform.SetFaults(standin.Faults{StaleVersions: 1})
		i.mu.Lock()
		i.fetchDown = true
		i.mu.Unlock()
		c := i.start("c")
		Consistently(c.distributor.Ready, time.Second).Should(BeFalse())
		i.mu.Lock()
		i.fetchDown = false
		i.mu.Unlock()
		Eventually(c.distributor.Ready, convergenceTimeout).Should(BeTrue())
		Expect(c.version(catalog.KindProfile, "pilot")()).To(Equal(result.Version))
	})

	It("fetches a record missed at a lower revision, and is not counted as in force before", func() {
		i := newInstallation("a", "b")
		i.awaitReady()
		i.get("b").store.cut.Store(true)
		i.cutPeers("b", true)
		first, err := i.get("a").distributor.Apply(ctx, catalog.KindProfile, profile("missed", 1), changedBy("op"))
		Expect(err).NotTo(HaveOccurred())
		i.mu.Lock()
		i.omitOnce = "missed"
		i.mu.Unlock()
		i.cutPeers("b", false)
		second, err := i.get("a").distributor.Apply(ctx, catalog.KindProfile, profile("seen", 1), changedBy("op"))
		Expect(err).NotTo(HaveOccurred())
		Expect(second.InForce).To(Equal(2))
		Expect(i.get("b").version(catalog.KindProfile, "missed")()).To(Equal(first.Version))
	})

	It("is not ready while neither the platform nor a peer responds", func() {
		i := newInstallation()
		i.platform.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
		a := i.start("a")
		Consistently(a.distributor.Ready, 500*time.Millisecond).Should(BeFalse())
		_, err := a.distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 380), changedBy("op"))
		Expect(failure.CodeOf(err)).To(Equal(failure.PlatformUnavailable))
		i.platform.SetFaults(standin.Faults{})
		Eventually(a.distributor.Ready, convergenceTimeout).Should(BeTrue())
	})

	It("updates a daemon that cannot reach the platform, and one that cannot reach its peers", func() {
		i := newInstallation("a", "b", "c")
		i.awaitReady()
		i.get("a").store.cut.Store(true)
		i.cutPeers("b", true)
		version := putDirectly(i.platform, "pilot", 380)
		for _, d := range i.all() {
			Eventually(d.version(catalog.KindProfile, "pilot"), convergenceTimeout).Should(Equal(version))
		}
	})

	It("accepts one of two concurrent changes, and names it in the conflict of the other", func() {
		i := newInstallation("a", "b")
		i.awaitReady()
		errs := make(chan error, 2)
		for n, id := range []string{"a", "b"} {
			go func() {
				w := distribution.WriteOptions{ExpectedVersion: lo.ToPtr(int64(0)), ChangedBy: "operator-" + id}
				_, err := i.get(id).distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 100+n), w)
				errs <- err
			}()
		}
		lost := lo.Compact([]error{<-errs, <-errs})
		Expect(lost).To(HaveLen(1))
		Expect(failure.CodeOf(lost[0])).To(Equal(failure.Conflict))
		Expect(failure.From(lost[0]).Outcome).To(Equal(failure.NotRun))
		stored, err := i.platform.Store().Get(ctx, platform.ConfigCollection, "profile.pilot")
		Expect(err).NotTo(HaveOccurred())
		var winner catalog.Record
		Expect(json.Unmarshal(stored.Data, &winner)).To(Succeed())
		Expect(lost[0].Error()).To(And(ContainSubstring(winner.ChangedBy), ContainSubstring(winner.ChangeID)))
	})

	DescribeTable("resolves a lost reply by reading back the change",
		func(faults standin.Faults) {
			i := newInstallation("a", "b")
			i.awaitReady()
			a := i.get("a")
			first, err := a.distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 100), changedBy("op"))
			Expect(err).NotTo(HaveOccurred())
			i.platform.SetFaults(faults)
			a.store.blockWatches.Store(true)
			a.store.loseReplies.Store(1)
			second, err := a.distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 200), changedBy("op"))
			Expect(err).NotTo(HaveOccurred())
			Expect(second.Version).To(Equal(first.Version + 1))
			i.platform.SetFaults(standin.Faults{})
		},
		Entry("immediately", standin.Faults{}),
		Entry("when reads are stale for a while", standin.Faults{StaleMS: 300}),
	)

	It("returns ResultUnknown only if the platform is unavailable after a lost reply", func() {
		i := newInstallation("a", "b")
		i.awaitReady()
		a := i.get("a")
		for _, d := range i.all() {
			d.store.blockWatches.Store(true)
			d.store.readsDown.Store(true)
		}
		a.store.loseReplies.Store(100)
		_, err := a.distributor.Apply(ctx, catalog.KindProfile, profile("pilot", 100), changedBy("op"))
		Expect(failure.CodeOf(err)).To(Equal(failure.ResultUnknown))
		Expect(failure.From(err).Outcome).To(Equal(failure.Unknown))

		a.store.loseReplies.Store(0)
		a.store.cut.Store(true)
		_, err = a.distributor.Apply(ctx, catalog.KindProfile, profile("other", 100), changedBy("op"))
		Expect(failure.CodeOf(err)).To(Equal(failure.PlatformUnavailable))
		Expect(failure.From(err).Outcome).To(Equal(failure.NotRun))
	})

	It("rejects a change that breaks a reference, or that is based on an old version", func() {
		i := newInstallation("a")
		i.awaitReady()
		a := i.get("a").distributor
		apply := func(kind catalog.Kind, spec string) error {
			_, err := a.Apply(ctx, kind, []byte(spec), changedBy("op"))
			return err
		}
		endpoint := `{"name":"e1","service":"s1","address":"192.0.2.1:80","data_centre":"d"}`
		Expect(failure.CodeOf(apply(catalog.KindEndpoint, endpoint))).To(Equal(failure.InvalidObject))
		Expect(apply(catalog.KindService, `{"name":"s1","kind":"engine","models":["m"]}`)).To(Succeed())
		Expect(failure.CodeOf(apply(catalog.KindService, `{"name":"s2","kind":"engine","models":["m"]}`))).To(Equal(failure.InvalidObject))
		Expect(apply(catalog.KindEndpoint, endpoint)).To(Succeed())
		_, err := a.Delete(ctx, catalog.KindService, "s1", changedBy("op"))
		Expect(failure.CodeOf(err)).To(Equal(failure.Conflict))

		key := strings.Repeat("ab", 32)
		workspace := func(name string) string {
			return fmt.Sprintf(`{"name":%q,"key_hashes":[%q],"default_profile":"pilot"}`, name, key)
		}
		Expect(failure.CodeOf(apply(catalog.KindWorkspace, workspace("w1")))).To(Equal(failure.InvalidObject))
		Expect(apply(catalog.KindProfile, string(profile("pilot", 1)))).To(Succeed())
		Expect(apply(catalog.KindWorkspace, workspace("w1"))).To(Succeed())
		Expect(failure.CodeOf(apply(catalog.KindWorkspace, workspace("w2")))).To(Equal(failure.InvalidObject))
		_, err = a.Delete(ctx, catalog.KindProfile, "pilot", changedBy("op"))
		Expect(failure.CodeOf(err)).To(Equal(failure.Conflict))

		_, err = a.Apply(ctx, catalog.KindProfile, profile("pilot", 2), distribution.WriteOptions{ExpectedVersion: lo.ToPtr(int64(0))})
		Expect(failure.CodeOf(err)).To(Equal(failure.Conflict))
		_, err = a.Delete(ctx, catalog.KindProfile, "absent", changedBy("op"))
		Expect(failure.CodeOf(err)).To(Equal(failure.NotFound))
	})
})
