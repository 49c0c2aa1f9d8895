package e2e_test

import (
	"net/http"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
)

func (c *cluster) platformFault(body map[string]any) {
	control(http.MethodPost, c.platformAddress, "/control/faults", body)
}

func survey(target int) catalog.Profile {
	return catalog.Profile{Name: "survey", Tier: 2, Target: catalog.Target{FirstTokenMS: target}}
}

// inForce returns the version of a profile on a daemon, or 0.
func inForce(d *daemonProcess, name string) int64 {
	record, err := d.client().Get(ctx(), catalog.KindProfile, name)
	if err != nil {
		return 0
	}
	return record.Version
}

var _ = Describe("An accepted configuration", func() {
	It("is in force on every daemon when apply returns, and one of two operators is told what beat it", func() {
		c := startCluster(clusterOptions{daemons: 3, engines: 1})
		first, err := c.apply(c.daemons[0], catalog.KindProfile, "survey", survey(1000))
		Expect(err).NotTo(HaveOccurred())
		Expect(first.InForce).To(Equal(3))
		Expect(first.Members).To(Equal(3))
		for _, d := range c.daemons {
			Expect(inForce(d, "survey")).To(Equal(first.Version))
		}

		var wg sync.WaitGroup
		errs := make([]error, 2)
		for i := range errs {
			wg.Go(func() {
				_, errs[i] = c.daemons[i].client().Apply(ctx(), catalog.KindProfile, "survey",
					[]byte(`{"name":"survey","tier":2,"target":{"first_token_ms":2000}}`), &first.Version)
			})
		}
		wg.Wait()
		codes := []failure.Code{failure.CodeOf(errs[0]), failure.CodeOf(errs[1])}
		Expect(codes).To(ConsistOf(failure.Code(""), failure.Conflict))
		for _, err := range errs {
			if err != nil {
				Expect(err.Error()).To(ContainSubstring("dba"), "the conflict names who made the other change")
			}
		}
	})

	It("survives a daemon that restarts during an outage of the platform", func() {
		c := startCluster(clusterOptions{daemons: 3, engines: 1})
		applied, err := c.apply(c.daemons[0], catalog.KindProfile, "survey", survey(1000))
		Expect(err).NotTo(HaveOccurred())
		c.platformFault(map[string]any{"outage": "refuse"})
		c.daemons[2].session.Kill().Wait(startTimeout)
		c.daemons[2].start()
		c.daemons[2].waitReady()
		Expect(inForce(c.daemons[2], "survey")).To(Equal(applied.Version))
		a := call(c.daemons[2].callers, "/v1/chat/completions", chat("during the outage", false))
		Expect(a.whole()).To(BeTrue(), "%+v", a)
		_, err = c.apply(c.daemons[0], catalog.KindProfile, "survey", survey(3000))
		Expect(err).To(HaveOccurred(), "nothing is accepted while the platform is down")
	})

	It("is not lost with the reply to its write", func() {
		c := startCluster(clusterOptions{daemons: 2, engines: 1})
		c.platformFault(map[string]any{"lose_replies": 1})
		applied, err := c.apply(c.daemons[0], catalog.KindProfile, "survey", survey(1000))
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.InForce).To(Equal(2))
	})

	It("reports a daemon that does not have it, and reaches that one when it wakes", func() {
		c := startCluster(clusterOptions{daemons: 3, engines: 1})
		c.daemons[2].signal(syscall.SIGSTOP)
		applied, err := c.apply(c.daemons[0], catalog.KindProfile, "survey", survey(1000))
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.InForce).To(Equal(2))
		c.daemons[2].signal(syscall.SIGCONT)
		Eventually(func() int64 { return inForce(c.daemons[2], "survey") }, "6s", "50ms").Should(Equal(applied.Version))
	})
})

var _ = Describe("An endpoint that is leaving", func() {
	It("gets no new work after 3 s, by the platform's list", func() {
		c := startCluster(clusterOptions{daemons: 2, engines: 2})
		vms := []platform.VM{{Name: "engine-0", Address: c.engineAddresses[0], DataCentre: "dc-1", Role: "endpoint", State: platform.VMLeaving}}
		for _, d := range c.daemons {
			vms = append(vms, platform.VM{Name: d.id, Address: d.peers, DataCentre: "dc-1", Role: "entry", State: platform.VMLive})
		}
		c.setVMs(vms)
		c.expectNoNewWorkOn("engine-0")
	})

	It("gets no new work after 3 s, by its own word", func() {
		c := startCluster(clusterOptions{daemons: 2, engines: 2})
		control(http.MethodPost, c.engineAddresses[0], "/control/leave", map[string]any{})
		c.expectNoNewWorkOn("engine-0")
	})
})

// expectNoNewWorkOn waits until the endpoint is seen as leaving, at most 3 s, and
// then sends work through every daemon, none of which may reach it.
func (c *cluster) expectNoNewWorkOn(name string) {
	GinkgoHelper()
	state := func() string {
		status, err := c.daemons[0].client().Status(ctx())
		if err != nil {
			return err.Error()
		}
		return endpointState(status, name)
	}
	Eventually(state, "3s", "20ms").Should(Equal("leaving"))
	address := c.engineAddresses[0]
	var before, after []map[string]any
	read(address, "/control/runs", &before)
	for range 20 {
		for _, d := range c.daemons {
			a := call(d.callers, "/v1/chat/completions", chat("anything", false))
			Expect(a.whole()).To(BeTrue(), "%+v", a)
		}
	}
	read(address, "/control/runs", &after)
	Expect(after).To(HaveLen(len(before)))
}

func endpointState(status admin.Status, name string) string {
	for _, e := range status.Endpoints {
		if e.Name == name {
			return e.State
		}
	}
	return "absent"
}
