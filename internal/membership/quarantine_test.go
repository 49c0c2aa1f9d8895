package membership_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

var _ = Describe("QuarantineExchange", func() {
	It("sends evidence to every daemon, resends what was lost, and stops when all is acknowledged", func() {
		n := newNetwork()
		var registers []*quarantine.Register
		var exchanges []*membership.QuarantineExchange
		clock := clockwork.NewRealClock()
		for i := range 3 {
			r := quarantine.New(quarantine.Config{})
			x := membership.NewQuarantineExchange(r, clock)
			n.start(fmt.Sprintf("m%02d", i)).Attach(membership.Attachments{Exchange: x})
			registers, exchanges = append(registers, r), append(exchanges, x)
		}
		n.setPartitioned("m01", "m02", true)
		n.setPartitioned("m02", "m01", true)
		registers[1].Crashed(time.Now(), "e1", []string{"poison"})
		registers[2].Crashed(time.Now(), "e2", []string{"poison"})
		for _, r := range registers {
			Eventually(func() quarantine.State { return r.State(time.Now(), "poison") }, waitTimeout).Should(Equal(quarantine.Blocked))
		}
		m00 := n.nodes["m00"].Self()
		Eventually(func() int { return len(exchanges[1].Outgoing(m00).Quarantine) }, waitTimeout).Should(BeZero())
	})
})
