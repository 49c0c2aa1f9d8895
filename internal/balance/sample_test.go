package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/balance"
)

var _ = Describe("Choices of a large fleet", func() {
	const (
		daemons = 68
		slots   = 64
		busy    = 30
	)
	now := time.Unix(1000, 0)

	// herd lets each daemon place a few requests on the same counts, and returns the most
	// that one endpoint got and the number of endpoints that got any.
	herd := func(ask func(thing int) balance.Request, each int) (most, used int) {
		loads := map[balance.EndpointKey]balance.Load{}
		for i := range 90 {
			loads[balance.KeyOf(fmt.Sprintf("e%d", i))] = balance.Load{Running: busy + i%7}
		}
		placed := map[string]int{}
		for daemon := range daemons {
			p := balance.NewPool("dc", rand.New(rand.NewPCG(uint64(daemon), 9)))
			p.Update(now, endpoints(90))
			p.SetRemoteLoad(loads, daemons)
			for i := range each {
				c := p.Pick(now, ask(daemon*each+i))
				placed[c.ID]++
				most = max(most, placed[c.ID])
			}
		}
		return most, len(placed)
	}

	// Load pattern: a burst of short prompts over 68 daemons, two at each of them before
	// they hear of each other again.
	It("do not all take the endpoint that was the least loaded", func() {
		most, used := herd(func(int) balance.Request {
			return balance.Request{PromptTokens: 1460, Parts: []balance.PromptPart{{ID: "own", Tokens: 1460}}}
		}, 2)
		Expect(most).To(BeNumerically("<=", slots-busy), "no endpoint gets more than it has slots for")
		Expect(used).To(BeNumerically(">=", 4))
	})

	It("still send a shared part to the endpoint that is its home", func() {
		_, used := herd(func(int) balance.Request { return longAsk(7) }, 1)
		Expect(used).To(BeNumerically("<=", 2))
	})
})
