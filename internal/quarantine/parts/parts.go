// Package parts finds what crashes endpoints, parts of prompts or whole requests, and decides which
// requests may run.
//
// Some part that many prompts share, such as a document, may crash each endpoint process that begins
// to respond to it, whatever else the prompt holds. Each crash names the requests whose response
// had not begun there. A part that is in several crashes, and with which no response has begun
// since, is blocked: all daemons refuse requests with it, but for single trials. The evidence is
// merged by union and by the greater count, so that daemons may exchange it in any order and more
// than once. A request that comes again and crashes endpoints each time is known in the same way, by
// a ledger with another policy: its chain is one key, and only a complete response clears it. The
// package does no I/O; callers pass in the time.
package parts

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sameCrash is the time within which reports of an endpoint's crash are about the same one. An
	// endpoint is back later, under the same ID or another.
	sameCrash = 700 * time.Millisecond
	// excusedRetention is how long a request is kept as part of a crash after it was excused: reports
	// of the crash still come in from other daemons.
	excusedRetention = time.Minute
	// excusedInterval is the time between two searches for such requests.
	excusedInterval = 10 * time.Second
	// startTime is the time for which a daemon has just started.
	startTime = time.Minute
	// quickTrialAfter is the delay of the first trial of an established part, which may be blocked
	// for the company it keeps. maxTrialAfter is the longest delay.
	quickTrialAfter, maxTrialAfter = time.Second, 30 * time.Minute
	// quietTime is the time without a crash for which a trial waits, for maxQuietWait at most: endpoints
	// that crash for another reason, or in the trial of another part, would count against the part.
	quietTime, maxQuietWait = time.Second, 5 * time.Second
	// settleTime is the time after a block from which its crashes are those of trials: requests that
	// were admitted before have reached an endpoint by then.
	settleTime = time.Second
	// exhaustedRetryAfter is the Retry-After of a request that is not tried any more.
	exhaustedRetryAfter = time.Minute

	// maxChainLength bounds the parts of a request.
	maxChainLength = 8
	// maxSentBlocks bounds the blocks in the first of the messages of one time, and maxSentCrashes the
	// crashes in all of them.
	maxSentBlocks, maxSentCrashes = 16, 12
	// newsTime is how long evidence counts as new after it grew, and crashesPerTurn the number of
	// crashes by which older evidence moves on from one message to the next.
	newsTime, crashesPerTurn = time.Second, 6
	// maxCount bounds the generation and the failed trials that are taken over, far above what a part
	// reaches: higher ones, which were not counted by a daemon, could wrap to 0 here.
	maxCount = 1 << 24
	// maxMessageDelay is the longest time that a message between daemons is expected to take.
	maxMessageDelay = 200 * time.Millisecond

	// Most encoded bytes of a key, and of an item without its keys.
	keyBytes, blockBytes, crashBytes, beginBytes = 9, 30, 30, 20
)

// Key identifies a part at one service: a hash of both names.
type Key uint64

// KeyOf returns the key of a part of prompts at a service.
func KeyOf(service, part string) Key {
	d := xxhash.New()
	for _, name := range []string{service, part} {
		_, _ = d.WriteString(name) // Writes to a hash never fail.
		_, _ = d.Write([]byte{0})
	}
	return Key(d.Sum64())
}

// String returns the key in hexadecimal.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Chain holds the keys of the parts of one prompt in order, without the last part, which belongs to
// the request itself.
type Chain []Key

// NewChain returns the chain of a prompt at a service. Of a longer prompt it holds the last parts:
// the first ones are shared by most prompts.
func NewChain(service string, partIDs []string) Chain {
	if len(partIDs) < 2 {
		return nil
	}
	shared := partIDs[:len(partIDs)-1]
	shared = shared[max(0, len(shared)-maxChainLength):]
	chain := make(Chain, len(shared))
	for i, id := range shared {
		chain[i] = KeyOf(service, id)
	}
	return chain
}

// EndpointKey identifies an endpoint: a hash of its ID.
type EndpointKey uint64

// EndpointKeyOf returns the key of an endpoint's ID.
func EndpointKeyOf(id string) EndpointKey { return EndpointKey(xxhash.Sum64String(id)) }

// Crash is one crash of an endpoint, as daemons exchange it.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointKey
	// Age is the time since a daemon reported it.
	Age time.Duration
	// Chains are those of the requests there whose response had not begun.
	Chains []Chain
}

// Block is the state of one part that is or was blocked, as daemons exchange it.
type Block struct {
	_    struct{} `cbor:",toarray"`
	Part Key
	// Generation grows by one when the part is blocked and when the block is lifted, so that it is
	// odd while the part is blocked.
	Generation uint32
	// FailedTrials counts the trials that crashed an endpoint.
	FailedTrials uint32
	// Idle is the time since a request with the part was refused, or an endpoint crashed under it.
	Idle time.Duration
}

// State is the state of one part that is or was blocked, as its daemon sees it.
type State struct {
	Block
	// Age is the time since it was blocked, or since the block was lifted.
	Age time.Duration
}

// Blocked reports whether the part is blocked.
func (b Block) Blocked() bool { return b.Generation%2 == 1 }

// Begin says that a response to a request with a part began Age ago.
type Begin struct {
	_    struct{} `cbor:",toarray"`
	Part Key
	Age  time.Duration
}

// Evidence is what daemons exchange.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Crashes []Crash
	Blocks  []Block
	Begins  []Begin
	// Trials are those that run. Messages carry them beside the evidence, which older daemons read.
	Trials []RunningTrial `cbor:"-"`
}

// Empty reports whether there is no evidence against any part.
func (e Evidence) Empty() bool { return len(e.Crashes) == 0 && len(e.Blocks) == 0 }
