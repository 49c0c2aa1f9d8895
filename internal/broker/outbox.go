package broker

import (
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// maxPendingReports bounds the reports that wait for a pool's broker.
	maxPendingReports = 20_000
	// reportMaxAge is how long sending a report is retried. After that the broker ends the
	// grant because the daemon's restatement lacks it.
	reportMaxAge = 10 * time.Second
	// resendDelay is the time between two attempts to send a batch.
	resendDelay = 50 * time.Millisecond
)

type pendingReport struct {
	report routing.Report
	since  time.Time
}

// outbox holds the reports of one pool until its broker has received them. At most one batch
// is in transit.
type outbox struct {
	mu      sync.Mutex
	pending []pendingReport
	sending bool
}

// add queues a report; start is true if the caller must start sending.
func (o *outbox) add(now time.Time, r routing.Report) (start bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPendingReports {
		o.pending = o.pending[1:]
	}
	o.pending = append(o.pending, pendingReport{report: r, since: now})
	start = !o.sending
	o.sending = true
	return start
}

// takeBatch removes and returns the reports that are not too old. An empty batch ends the sending.
func (o *outbox) takeBatch(now time.Time) []pendingReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []pendingReport
	for _, p := range o.pending {
		if now.Sub(p.since) < reportMaxAge {
			out = append(out, p)
		}
	}
	o.pending = nil
	o.sending = len(out) > 0
	return out
}

// requeue puts a batch that could not be sent back at the front.
func (o *outbox) requeue(batch []pendingReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = append(batch, o.pending...)
}
