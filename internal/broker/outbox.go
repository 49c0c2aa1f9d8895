package broker

import (
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// maxPending bounds the reports that wait for a pool's broker.
	maxPending = 20_000
	// reportKeptFor is how long a report is offered to the pool's broker. After that
	// the broker ends the grant when the daemon restates.
	reportKeptFor = 10 * time.Second
	// resendDelay is the time between two tries.
	resendDelay = 50 * time.Millisecond
)

type pendingReport struct {
	report routing.Report
	since  time.Time
}

// outbox holds the reports of one pool until its broker has taken them. One batch
// is under way at a time.
type outbox struct {
	mu      sync.Mutex
	pending []pendingReport
	sending bool
}

// add queues a report and reports whether the caller should start sending.
func (o *outbox) add(now time.Time, r routing.Report) (start bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPending {
		o.pending = o.pending[1:]
	}
	o.pending = append(o.pending, pendingReport{report: r, since: now})
	start = !o.sending
	o.sending = true
	return start
}

// take returns what is to be sent, without what is too old; none ends the sending.
func (o *outbox) take(now time.Time) []pendingReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []pendingReport
	for _, p := range o.pending {
		if now.Sub(p.since) < reportKeptFor {
			out = append(out, p)
		}
	}
	o.pending = nil
	o.sending = len(out) > 0
	return out
}

// putBack returns what could not be sent to the front.
func (o *outbox) putBack(batch []pendingReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = append(batch, o.pending...)
}
