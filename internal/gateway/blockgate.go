package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// maxBlockWait bounds the time for which requests wait for the stored blocks, from the first request
// that a gateway could forward. Peers send each other all they know within it (evidenceRefresh), so
// that a gateway which doesn't reach the platform has learned the blocks from them.
const maxBlockWait = time.Second

// blockGate holds back the requests of a gateway that has just started until it has read which
// requests and parts of prompts are blocked. It is safe for concurrent use.
type blockGate struct {
	log *logrus.Logger
	// unread counts the stores that have not been read.
	unread atomic.Int32
	// started starts the time limit, and passed opens the gate.
	started, passed sync.Once
	known           chan struct{}
}

func newBlockGate(stores int, log *logrus.Logger) *blockGate {
	b := &blockGate{log: log, known: make(chan struct{})}
	b.unread.Store(int32(stores)) //nolint:gosec // One for each ledger.
	return b
}

// Known returns a channel that is closed once the stored blocks are known, or maxBlockWait after the
// first call.
func (b *blockGate) Known() <-chan struct{} {
	b.started.Do(func() { time.AfterFunc(maxBlockWait, b.giveUp) })
	return b.known
}

// markRead records that one more store has been read.
func (b *blockGate) markRead() {
	if b.unread.Add(-1) == 0 {
		b.passed.Do(func() { close(b.known) })
	}
}

func (b *blockGate) giveUp() {
	b.passed.Do(func() {
		b.log.WithFields(logrus.Fields{"event": "blocks_unknown", "unread": b.unread.Load(), "waited": maxBlockWait}).Warn("requests no longer wait for the blocks that are stored at the platform")
		close(b.known)
	})
}
