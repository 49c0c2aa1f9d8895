package balance_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/balance"
)

const (
	tokenTime    = 50 * time.Microsecond // To prefill a token.
	engineParts  = 8                     // Shared parts that the memory of an engine holds.
	decodingTime = time.Second
)

// engine prefills one prompt after the other and keeps the shared parts used last.
type engine struct {
	freeAt time.Time
	parts  []string
}

// prefill queues a prompt and returns when it has been prefilled, and the shared tokens read.
func (e *engine) prefill(now time.Time, request balance.Request) (done time.Time, sharedRead int) {
	part := request.Parts[0]
	tokens := request.PromptTokens
	if i := slices.Index(e.parts, part.ID); i >= 0 {
		e.parts = slices.Delete(e.parts, i, i+1)
		tokens -= part.Tokens
	} else {
		sharedRead = part.Tokens
	}
	e.parts = append(e.parts, part.ID)
	e.parts = e.parts[max(0, len(e.parts)-engineParts):]
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(time.Duration(tokens) * tokenTime)
	return e.freeAt, sharedRead
}

// replay sends requests to a pool of engines at equal intervals. It returns the shared tokens
// that were read more than once by all engines together.
func replay(engines, requests int, interval time.Duration, request func() balance.Request) (readAgain int) {
	start := time.Unix(1000, 0)
	p := balance.NewPool("dc", rand.New(rand.NewPCG(3, 9)))
	p.Update(start, endpoints(engines))
	byID, seen := map[string]*engine{}, map[string]bool{}
	type event struct {
		at time.Time
		do func(now time.Time)
	}
	var events []event
	for i := range requests {
		now := start.Add(time.Duration(i) * interval)
		slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for len(events) > 0 && !events[0].at.After(now) {
			events[0].do(events[0].at)
			events = events[1:]
		}
		r := request()
		c := p.Pick(now, r)
		if byID[c.ID] == nil {
			byID[c.ID] = &engine{}
		}
		done, sharedRead := byID[c.ID].prefill(now, r)
		if seen[r.Parts[0].ID] {
			readAgain += sharedRead
		}
		seen[r.Parts[0].ID] = true
		events = append(events, event{done, c.ResponseStarted},
			event{done.Add(decodingTime), func(now time.Time) { c.Done(now, balance.Succeeded) }})
	}
	return readAgain
}

var _ = Describe("Pick while the endpoints are overloaded", func() {
	now := time.Unix(1000, 0)
	const affinityBacklog = 250000 // Prompt tokens, more than reading the shared part counts.

	// placeWithBacklog returns where a prompt goes whose affinity endpoint has a longer backlog
	// than the others.
	placeWithBacklog := func(others int) (endpoint, affinity string) {
		p := newPool(9)
		c := p.Pick(now, longRequest(1))
		c.ResponseStarted(now.Add(17000 * tokenTime))
		c.Done(now.Add(17000*tokenTime), balance.Succeeded)
		loads := map[balance.EndpointKey]balance.Load{}
		for _, e := range endpoints(9) {
			loads[balance.KeyOf(e.ID)] = balance.Load{PendingTokens: others}
		}
		loads[balance.KeyOf(c.ID)] = balance.Load{PendingTokens: others + affinityBacklog}
		p.SetRemoteLoad(loads, 2)
		return p.Pick(now.Add(time.Second), longRequest(1)).ID, c.ID
	}

	It("leaves the affinity endpoint for one without a backlog", func() {
		endpoint, affinity := placeWithBacklog(0)
		Expect(endpoint).NotTo(Equal(affinity))
	})

	It("stays at the affinity endpoint while the others are long behind, too", func() {
		endpoint, affinity := placeWithBacklog(100000)
		Expect(endpoint).To(Equal(affinity))
	})

	// Load pattern: 333 prompts a second for nine seconds, with 48 shared parts of different
	// popularity. Nine engines prefill 120 a second if every shared part is held, and 30 if
	// none is. Without the weight on loads, 1,932 of the shared parts were read again.
	It("reads half as many shared parts again as it does when it compares full backlogs", func() {
		const requests, sharedTokens, ownTokens = 3000, 4500, 1500
		const readAgainBefore = 1932 * sharedTokens
		random := rand.New(rand.NewPCG(1, 1))
		zipf := rand.NewZipf(random, 1.1, 4, 47)
		request := func() balance.Request {
			return balance.Request{
				PromptTokens: sharedTokens + ownTokens,
				Parts:        []balance.PromptPart{{ID: fmt.Sprint("t", zipf.Uint64()), Tokens: sharedTokens}, {ID: "own", Tokens: ownTokens}},
			}
		}
		Expect(replay(9, requests, 3*time.Millisecond, request)).To(BeNumerically("<=", readAgainBefore/2))
	})
})
