package forward

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// Load pattern: connections break under requests. An endpoint that crashed refuses the
// next connection, and its load must move at once; one that only lost an answer accepts
// it and stays in use. A request that crashes every endpoint is told by the same look.

const (
	// lookPause is the shortest time between two looks at one endpoint.
	lookPause = 300 * time.Millisecond
	// sameBreak is how long a broken request counts as running at the crash that is found.
	sameBreak = time.Second
)

// crashLook dials endpoints whose connections broke. It is safe for concurrent use.
type crashLook struct {
	dialer   *httpio.Dialer
	register *quarantine.Register
	log      *logrus.Logger

	mu     sync.Mutex
	broken map[string][]brokenRun
	looked map[string]time.Time
}

// brokenRun is a request that was at an endpoint when its connection broke.
type brokenRun struct {
	digest string
	at     time.Time
}

func newCrashLook(dialer *httpio.Dialer, register *quarantine.Register, log *logrus.Logger) *crashLook {
	return &crashLook{dialer: dialer, register: register, log: log, broken: make(map[string][]brokenRun), looked: make(map[string]time.Time)}
}

// broke notes a broken request and looks at its endpoint.
func (l *crashLook) broke(choice *balance.Choice, digest string) {
	now := time.Now()
	l.mu.Lock()
	l.broken[choice.ID] = append(l.recent(choice.ID, now), brokenRun{digest: digest, at: now})
	due := now.Sub(l.looked[choice.ID]) >= lookPause
	if due {
		l.looked[choice.ID] = now
	}
	l.mu.Unlock()
	if due {
		go l.look(choice)
	}
}

// recent returns the requests that broke at an endpoint lately; l.mu is held.
func (l *crashLook) recent(id string, now time.Time) []brokenRun {
	var runs []brokenRun
	for _, run := range l.broken[id] {
		if now.Sub(run.at) < sameBreak {
			runs = append(runs, run)
		}
	}
	return runs
}

func (l *crashLook) look(choice *balance.Choice) {
	conn, err := l.dialer.Dial(context.Background(), choice.Address, dialTimeout)
	if err == nil {
		l.dialer.Put(choice.Address, conn)
		choice.CrashProbeSucceeded(time.Now())
		l.mu.Lock()
		delete(l.broken, choice.ID)
		l.mu.Unlock()
		return
	}
	now := time.Now()
	l.dialer.Forget(choice.Address)
	choice.CrashProbeFailed(now)
	l.mu.Lock()
	var digests []string
	for _, run := range l.recent(choice.ID, now) {
		digests = append(digests, run.digest)
	}
	delete(l.broken, choice.ID)
	l.mu.Unlock()
	l.register.Crashed(now, choice.ID, digests)
	l.log.WithFields(logrus.Fields{"event": "crash", "endpoint": choice.ID, "address": choice.Address, "running": len(digests), "error": err}).Warn("an endpoint broke off and accepts no connection")
}

// digest names the content of the request, whoever sends it again.
func (j *job) digest() string {
	d := xxhash.New()
	for _, part := range [][]byte{j.request.Header.Method(), []byte(j.request.Target), j.request.Header.Peek(j.f.Headers.Key), j.request.Body} {
		_, _ = d.Write(part) // A digest never fails to take bytes.
		_, _ = d.Write([]byte{0})
	}
	return strconv.FormatUint(d.Sum64(), 16)
}
