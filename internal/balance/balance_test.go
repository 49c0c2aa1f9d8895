package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

func endpoints(n int) []routetable.Endpoint {
	listed := make([]routetable.Endpoint, n)
	for i := range listed {
		listed[i] = routetable.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "dc", Slots: 64, StartedAt: 1}
	}
	return listed
}

func newPool(n int) *balance.Pool {
	p := balance.NewPool("dc", rand.New(rand.NewPCG(1, 2)))
	p.Update(time.Unix(1000, 0), endpoints(n))
	return p
}

func longAsk(thing int) balance.Request {
	return balance.Request{PromptTokens: 17000, Parts: []balance.PromptPart{{ID: fmt.Sprint("t", thing), Tokens: 13300}, {ID: "own", Tokens: 3700}}}
}

func shortAsk() balance.Request {
	return balance.Request{PromptTokens: 1460, Parts: []balance.PromptPart{{ID: "tiny", Tokens: 350}, {ID: "own", Tokens: 1110}}}
}

var _ = Describe("Pick", func() {
	now := time.Unix(1000, 0)

	// Load pattern: many prompts that share long parts, more of them than one endpoint reads at once.
	Describe("with shared prompt parts under a burst", func() {
		It("sends a part to one endpoint from several daemons, so that it is read once", func() {
			homes := make(map[int]map[string]bool)
			for daemon := range 6 {
				p := balance.NewPool("dc", rand.New(rand.NewPCG(uint64(daemon), 7)))
				p.Update(now, endpoints(9))
				for thing := range 160 {
					c := p.Pick(now.Add(time.Duration(thing)*10*time.Millisecond), longAsk(thing))
					c.ResponseStarted(now)
					c.Done(now, balance.Succeeded)
					if homes[thing] == nil {
						homes[thing] = make(map[string]bool)
					}
					homes[thing][c.ID] = true
				}
			}
			apart := 0
			for _, ids := range homes {
				apart += len(ids) - 1
			}
			Expect(apart).To(BeZero(), "parts read at more than one endpoint")
		})

		It("leaves the home only when much waits there, and then names where the parts can be fetched", func() {
			p := newPool(9)
			home := p.Pick(now, longAsk(1))
			again := 0
			var last *balance.Choice
			for range 200 {
				last = p.Pick(now, longAsk(1))
				if last.ID != home.ID {
					break
				}
				again++
			}
			Expect(again).To(BeNumerically(">=", 10), "one prompt in progress must not move the next")
			Expect(last.ID).NotTo(Equal(home.ID), "a hot part must not fell its home")
			Expect(last.FetchFrom).To(Equal(home.Address))
		})
	})

	// Load pattern: long prompts beside short urgent streams.
	Describe("with long and short prompts", func() {
		It("keeps them apart while there is room", func() {
			p := newPool(9)
			short, long := make(map[string]int), make(map[string]int)
			for i := range 40 {
				short[p.Pick(now, shortAsk()).ID]++
				c := p.Pick(now, longAsk(i))
				c.ResponseStarted(now)
				long[c.ID]++
			}
			for id := range short {
				Expect(long).NotTo(HaveKey(id))
			}
			Expect(short).To(HaveLen(2))
			Expect(len(long)).To(BeNumerically(">=", 6))
		})

		It("lets long prompts into the express lane when the rest is far behind", func() {
			p := newPool(9)
			used := make(map[string]bool)
			for i := range 400 {
				used[p.Pick(now, longAsk(i)).ID] = true
			}
			Expect(used).To(HaveLen(9))
		})

		It("grows the lane with the slots that short prompts take, and shrinks it again", func() {
			p := newPool(40) // 64 slots each.
			lane := func(at time.Time) int {
				used := make(map[string]bool)
				for i := range 400 {
					c := p.Pick(at, longAsk(i))
					c.ResponseStarted(at)
					c.Done(at, balance.Succeeded)
					used[c.ID] = true
				}
				return 40 - len(used)
			}
			before := lane(now)
			Expect(before).To(Equal(4))
			var running []*balance.Choice
			for range 320 {
				c := p.Pick(now, shortAsk())
				c.ResponseStarted(now)
				running = append(running, c)
			}
			at := now
			for range 30 {
				at = at.Add(1100 * time.Millisecond)
				p.Pick(at, shortAsk()).Done(at, balance.Succeeded)
			}
			Expect(lane(at)).To(And(BeNumerically(">=", 7), BeNumerically("<=", 10)))
			for _, c := range running {
				c.Done(at, balance.Succeeded)
			}
			for range 30 {
				at = at.Add(1100 * time.Millisecond)
				c := p.Pick(at, longAsk(1))
				p.Pick(at, longAsk(2)).Done(at, balance.Succeeded)
				c.Done(at, balance.Succeeded)
			}
			Expect(lane(at)).To(Equal(before))
		})

		It("has no lane in a pool of a few endpoints", func() {
			p := newPool(3)
			used := make(map[string]bool)
			for range 30 {
				used[p.Pick(now, shortAsk()).ID] = true
			}
			Expect(used).To(HaveLen(3))
		})
	})

	// Load pattern: endpoints crash, go dark, fail or turn slow under load.
	Describe("with endpoints in trouble", func() {
		fail := func(p *balance.Pool, id string, result balance.Result, times int) {
			for range times {
				exclude := map[string]bool{}
				for _, e := range endpoints(9) {
					exclude[e.ID] = e.ID != id
				}
				c := p.Pick(now, balance.Request{Exclude: exclude})
				Expect(c.ID).To(Equal(id))
				c.Done(now, result)
			}
		}
		picks := func(p *balance.Pool, at time.Time, n int) map[string]int {
			counts := make(map[string]int)
			for range n {
				c := p.Pick(at, balance.Request{})
				counts[c.ID]++
				c.ResponseStarted(at.Add(20 * time.Millisecond))
				c.Done(at, balance.Succeeded)
			}
			return counts
		}

		It("ejects an endpoint that broke, tries it with one request, and takes it back", func() {
			p := newPool(3)
			fail(p, "e0", balance.Broken, 1)
			Expect(picks(p, now.Add(100*time.Millisecond), 60)).NotTo(HaveKey("e0"))
			exclude := map[string]bool{"e1": true, "e2": true}
			later := now.Add(10 * time.Second)
			trial := p.Pick(later, balance.Request{Exclude: exclude})
			Expect(trial.ID).To(Equal("e0"))
			for range 30 {
				c := p.Pick(later, balance.Request{})
				Expect(c.ID).NotTo(Equal("e0"), "one trial at a time")
				c.Done(later, balance.Succeeded)
			}
			trial.Done(later, balance.Succeeded)
			returned := make(map[string]int)
			for range 12 { // At once: idle endpoints without any failure go first.
				returned[p.Pick(later, balance.Request{}).ID]++
			}
			Expect(returned).To(HaveKey("e0"))
		})

		It("still serves when all endpoints are suspected", func() {
			p := newPool(3)
			for _, id := range []string{"e0", "e1", "e2"} {
				fail(p, id, balance.Unreachable, 1)
			}
			Expect(p.Pick(now, balance.Request{})).NotTo(BeNil())
		})

		It("avoids an endpoint that fails part of its requests, and forgets with time", func() {
			p := newPool(3)
			fail(p, "e0", balance.Failed, 3)
			Expect(picks(p, now, 60)["e0"]).To(BeZero())
			Expect(picks(p, now.Add(60*time.Second), 90)["e0"]).To(BeNumerically(">", 10))
		})

		It("gives a slow endpoint less", func() {
			p := newPool(3)
			for range 20 {
				for _, e := range endpoints(3) {
					exclude := map[string]bool{"e0": true, "e1": true, "e2": true}
					delete(exclude, e.ID)
					c := p.Pick(now, balance.Request{Exclude: exclude})
					elapsed := 20 * time.Millisecond
					if e.ID == "e0" {
						elapsed *= 8
					}
					c.ResponseStarted(now.Add(elapsed))
					c.Done(now.Add(elapsed), balance.Succeeded)
				}
			}
			Expect(picks(p, now.Add(200*time.Millisecond), 60)["e0"]).To(BeNumerically("<", 5))
		})

		It("does not offer a request twice to the same endpoint", func() {
			p := newPool(2)
			first := p.Pick(now, balance.Request{})
			second := p.Pick(now, balance.Request{Exclude: map[string]bool{first.ID: true}})
			Expect(second.ID).NotTo(Equal(first.ID))
			Expect(p.Pick(now, balance.Request{Exclude: map[string]bool{"e0": true, "e1": true}})).To(BeNil())
		})

		It("forgets what it knew of an endpoint that was born again", func() {
			p := newPool(3)
			fail(p, "e0", balance.Misrouted, 1)
			listed := endpoints(3)
			listed[0].StartedAt = 2
			p.Update(now, listed)
			Expect(picks(p, now, 60)).To(HaveKey("e0"))
		})
	})

	// Load pattern: more prompts than the engines read, for seconds on end.
	Describe("the predicted wait", func() {
		const perToken = 6 * time.Microsecond
		loaded := func() *balance.Pool {
			p := newPool(1) // One endpoint: the choice does not depend on the request.
			first := p.Pick(now, longAsk(0))
			first.ResponseStarted(now.Add(17000 * perToken))
			first.Done(now, balance.Succeeded)
			for i := range 200 {
				ask := longAsk(i)
				ask.Priority = 2
				p.Pick(now, ask)
			}
			return p
		}

		It("grows with the prompts that wait, not with the request's own", func() {
			p := loaded()
			large, small := longAsk(3), longAsk(3)
			large.Priority, small.Priority = 2, 2
			large.PromptTokens, small.PromptTokens = 60000, 15000
			a := p.Pick(now, small)
			a.Done(now, balance.Neutral)
			b := p.Pick(now, large)
			Expect(a.PredictedWait).To(BeNumerically(">", time.Second))
			Expect(b.PredictedWait).To(Equal(a.PredictedWait))
		})

		It("counts only what is at least as urgent", func() {
			p := loaded()
			urgent := longAsk(3)
			Expect(p.Pick(now, urgent).PredictedWait).To(BeZero())
		})

		It("does not take the waiting of others for the cost of reading", func() {
			wait := func(slowAnswers int) time.Duration {
				p := newPool(1)
				at := now
				for i := range 1 + slowAnswers {
					c := p.Pick(at, longAsk(i))
					elapsed := 17000 * perToken
					if i > 0 {
						elapsed *= 20 // Behind a backlog.
					}
					at = at.Add(elapsed)
					c.ResponseStarted(at)
					c.Done(at, balance.Succeeded)
				}
				for i := range 50 {
					p.Pick(at, longAsk(1000+i))
				}
				return p.Pick(at, longAsk(2000)).PredictedWait
			}
			Expect(wait(100)).To(BeNumerically("<", wait(0)*5/4))
		})

		It("is nothing while nothing waits, and after all was read", func() {
			p := newPool(4)
			c := p.Pick(now, longAsk(1))
			Expect(c.PredictedWait).To(BeZero())
			c.ResponseStarted(now.Add(time.Second))
			Expect(p.Pick(now, longAsk(1)).PredictedWait).To(BeZero())
		})
	})

	// Load pattern: a hot part whose home has no slot left; each further request would wait there.
	It("leaves a home whose slots are taken, also when nothing is left to read there", func() {
		p := newPool(9)
		home := p.Pick(now, longAsk(1))
		home.ResponseStarted(now)
		taken := 1
		for range 200 {
			c := p.Pick(now, longAsk(1))
			c.ResponseStarted(now)
			if c.ID != home.ID {
				break
			}
			taken++
		}
		Expect(taken).To(BeNumerically(">=", 64), "the slots of the home are used")
		Expect(taken).To(BeNumerically("<", 100), "and little more than those")
	})

	It("counts the work of other daemons", func() {
		p := newPool(3)
		p.SetRemoteLoad(map[balance.EndpointKey]balance.Load{balance.KeyOf("e0"): {Running: 20}, balance.KeyOf("e1"): {Running: 20}}, 2)
		counts := make(map[string]int)
		for range 10 {
			counts[p.Pick(now, balance.Request{}).ID]++
		}
		Expect(counts).To(Equal(map[string]int{"e2": 10}))
		Expect(p.OwnLoad()).To(Equal(map[balance.EndpointKey]balance.Load{balance.KeyOf("e2"): {Running: 10}}))
	})
})
