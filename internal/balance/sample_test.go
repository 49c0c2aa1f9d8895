package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/balance"
)

var _ = Describe("Choices of many daemons", func() {
	const (
		daemons            = 68
		slots              = 64
		runningPerEndpoint = 30
	)
	now := time.Unix(1000, 0)

	// placeBurst lets each daemon place some requests based on the same loads. It returns the
	// largest number placed on one endpoint and the number of endpoints used.
	placeBurst := func(request func(part int) balance.Request, perDaemon int) (maxPlaced, used int) {
		loads := map[balance.EndpointKey]balance.Load{}
		for i := range 90 {
			loads[balance.KeyOf(fmt.Sprintf("e%d", i))] = balance.Load{Running: runningPerEndpoint + i%7}
		}
		placed := map[string]int{}
		for daemon := range daemons {
			p := balance.NewPool("dc", rand.New(rand.NewPCG(uint64(daemon), 9)))
			p.Update(now, endpoints(90))
			p.SetRemoteLoad(loads, daemons)
			for i := range perDaemon {
				c := p.Pick(now, request(daemon*perDaemon+i))
				placed[c.ID]++
				maxPlaced = max(maxPlaced, placed[c.ID])
			}
		}
		return maxPlaced, len(placed)
	}

	// Load pattern: a burst of short prompts over 68 daemons, two at each of them before the
	// next exchange of loads.
	It("do not all fall on the endpoint that was the least loaded", func() {
		maxPlaced, used := placeBurst(func(int) balance.Request {
			return balance.Request{PromptTokens: 1460, Parts: []balance.PromptPart{{ID: "own", Tokens: 1460}}}
		}, 2)
		Expect(maxPlaced).To(BeNumerically("<=", slots-runningPerEndpoint), "no endpoint gets more requests than it has free slots")
		Expect(used).To(BeNumerically(">=", 4))
	})

	It("still send a shared part to its affinity endpoint", func() {
		_, used := placeBurst(func(int) balance.Request { return longRequest(7) }, 1)
		Expect(used).To(BeNumerically("<=", 2))
	})
})
