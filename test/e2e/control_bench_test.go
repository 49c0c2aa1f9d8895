//go:build bench

package e2e_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
)

const controlWindow = 15 * time.Second

var _ = Describe("Bench of control", Label("bench"), func() {
	for _, n := range []int{2, 8, 16, 32} {
		It(fmt.Sprintf("costs of an idle daemon among %d", n), func() {
			c := &cluster{}
			c.platform, c.platformAddress = standin("platform", "-token", platformToken)
			var vms []platform.VM
			for i := range n {
				d := c.addDaemon(fmt.Sprintf("entry-%02d", i), nil)
				vms = append(vms, platform.VM{Name: d.id, Address: d.peers, DataCentre: fmt.Sprintf("dc-%d", i%3), Role: "entry", State: platform.VMLive})
			}
			c.setVMs(vms)
			for _, d := range c.daemons {
				d.start()
			}
			for _, d := range c.daemons {
				d.waitReady()
			}
			time.Sleep(5 * time.Second) // Introductions are over.
			processes := lo.Map(c.daemons, func(d *daemonProcess, _ int) *process { return d.process })
			before := lo.Map(processes, func(p *process, _ int) float64 { return cpuSeconds(p) })
			calls := c.platformCalls()
			go c.daemons[0].profileLater("idle")
			time.Sleep(controlWindow)
			var cpu, memory float64
			for i, p := range processes {
				cpu += (cpuSeconds(p) - before[i]) / controlWindow.Seconds() * 100
				memory += residentMB(p)
			}
			made := float64(c.platformCalls()-calls) / controlWindow.Seconds()
			fmt.Printf("%d daemons: %.2f%% of a core each, %.1f MB each, %.1f calls/s on the platform in all\n", n, cpu/float64(n), memory/float64(n), made)
		})
	}
})

func (c *cluster) platformCalls() int64 {
	var stats map[string]int64
	read(c.platformAddress, "/control/stats", &stats)
	return lo.Sum(lo.Values(stats))
}
