package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/balance"
)

// sendToAll sends a request to each of n endpoints, one after the other.
func sendToAll(p *balance.Pool, now time.Time, request balance.Request, n int) {
	for i := range n {
		request.Exclude = make(map[string]bool)
		for other := range n {
			if other != i {
				request.Exclude[fmt.Sprintf("e%d", other)] = true
			}
		}
		c := p.Pick(now, request)
		c.ResponseStarted(now)
		c.Done(now, balance.Succeeded)
	}
}

var _ = Describe("Choices of many daemons", func() {
	const (
		daemons            = 68
		slots              = 64
		runningPerEndpoint = 30
	)
	now := time.Unix(1000, 0)

	// placeBurst lets each daemon place some requests based on the same loads. It returns the
	// largest number placed on one endpoint and the number of endpoints used.
	// Each daemon has sent warmUp to every endpoint before, if it is set.
	placeBurst := func(warmUp *balance.Request, request func(part int) balance.Request, perDaemon int) (maxPlaced, used int) {
		loads := map[balance.EndpointKey]balance.Load{}
		for i := range 90 {
			loads[balance.KeyOf(fmt.Sprintf("e%d", i))] = balance.Load{Running: runningPerEndpoint + i%7}
		}
		placed := map[string]int{}
		for daemon := range daemons {
			p := balance.NewPool("dc", rand.New(rand.NewPCG(uint64(daemon), 9)))
			p.Update(now, endpoints(90))
			if warmUp != nil {
				sendToAll(p, now, *warmUp, 90)
			}
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
		maxPlaced, used := placeBurst(nil, func(int) balance.Request {
			return balance.Request{PromptTokens: 1460, Parts: []balance.PromptPart{{ID: "own", Tokens: 1460}}}
		}, 2)
		Expect(maxPlaced).To(BeNumerically("<=", slots-runningPerEndpoint), "no endpoint gets more requests than it has free slots")
		Expect(used).To(BeNumerically(">=", 4))
	})

	// All daemons have sent the common head of these prompts to every endpoint.
	It("do not all fall on the least loaded endpoint if all have a common part", func() {
		request := func(i int) balance.Request {
			return balance.Request{PromptTokens: 1460, Parts: []balance.PromptPart{{ID: "common", Tokens: 350}, {ID: fmt.Sprint("own", i), Tokens: 1110}}}
		}
		warmUp := request(-1)
		maxPlaced, used := placeBurst(&warmUp, request, 2)
		Expect(maxPlaced).To(BeNumerically("<=", slots-runningPerEndpoint), "no endpoint gets more requests than it has free slots")
		Expect(used).To(BeNumerically(">=", 4))
	})

	It("still send a shared part to its affinity endpoint", func() {
		_, used := placeBurst(nil, func(int) balance.Request { return longRequest(7) }, 1)
		Expect(used).To(BeNumerically("<=", 2))
	})
})
