//go:build hardload

package hardload_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// The clients are fixed: a change of the product must not thin them out.
const (
	// pipeliningClients send a request that runs for slowResponse, and pipelinedBytes of the next one.
	pipeliningClients, pipelinedBytes = 1300, 1_000_000
	// largePipeliningClients send such a request with a body of readBytes, and behindBytes of the next one.
	largePipeliningClients, readBytes, behindBytes = 60, 1_000_000, 3_900_000
	// unreadRounds of unreadClients send a whole body of wholeBytes and read no answer.
	unreadRounds, unreadClients, wholeBytes = 8, 60, 3_900_000
	// manyStrayClients is four times strayClients.
	manyStrayClients = 4 * strayClients
	// endlessReaders request a response that does not end and read none of it.
	endlessReaders = 1300
	// settleTime is how long a crowd stays; the bounds hold at any time.
	settleTime = 4 * time.Second
)

var _ = Describe("Bytes that the kernel holds", func() {
	for name, start := range programs {
		Describe("before "+name, func() {
			// Guards against requests that arrive while others on their connections run.
			It("are of requests behind ones that run", func() {
				t, c := start(manyDescriptors), newClients()
				c.startUnawaited(pipeliningClients, t.callers, func() string {
					return t.requestTo(slow(t)) + announced(0) + t.requestTo(t.path) + announced(pipelinedBytes)
				}, plain(pipelinedBytes))
				time.Sleep(settleTime)
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against receive windows that have grown under a large body.
			It("are of large bodies behind ones that have been read", func() {
				t, c := start(manyDescriptors), newClients()
				c.startUnawaited(largePipeliningClients, t.callers, func() string {
					return t.requestTo(slow(t)) + announced(readBytes) + strings.Repeat("a", readBytes) + t.requestTo(t.path) + announced(behindBytes)
				}, plain(behindBytes))
				time.Sleep(settleTime)
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against refusals and answers that are not read, behind which bodies go on.
			It("are of whole bodies whose answers nobody reads", func() {
				t, c := start(fewDescriptors), newClients()
				for range unreadRounds {
					c.startUnawaited(unreadClients, t.callers, func() string {
						return t.requestTo(t.path[:len(t.path)-1]+"large") + announced(wholeBytes)
					}, plain(wholeBytes))
					time.Sleep(settleTime / unreadRounds)
				}
				time.Sleep(settleTime)
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against bodies that the listeners for peers and operators have refused and not read.
			It("are of large bodies to the other listeners", func() {
				t, c := start(manyDescriptors), newClients()
				for listener, post := range t.posts {
					c.start(manyStrayClients, t.listeners[listener], 0, func() string { return post + chunked }, chunks(strayBytes, 16_000))
					c.start(manyStrayClients, t.listeners[listener], 0, func() string { return post + announced(oversizeBytes) }, plain(strayBytes))
				}
				c.group.Wait()
				t.awaitOrdinary()
				t.expectBounded()
			})

			// Guards against responses that an endpoint sends faster than their callers read.
			It("are of responses that callers don't read", func() {
				t, c := start(manyDescriptors), newClients()
				endless := t.path[:len(t.path)-1] + "endless"
				c.start(endlessReaders, t.callers, 4096, func() string { return t.requestTo(endless) + announced(0) }, nil)
				c.group.Wait()
				time.Sleep(settleTime)
				t.awaitOrdinary()
				t.expectBounded()
			})
		})
	}
})

func slow(t target) string { return t.path[:len(t.path)-1] + "slow" }
