package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the lines that wait for a slow reader of the log.
	maxQueuedLines = 2048
	// dropReportInterval is the minimum time between two log lines that report dropped lines.
	dropReportInterval = time.Second
)

// LineWriter writes log lines asynchronously, from its own goroutine. Write never blocks:
// if the queue is full, the line is dropped and counted, so that a reader that stops
// reading does not delay requests.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close. The channel lines stays open, since other goroutines may
	// still call Write: sending on a closed channel panics.
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// NewLineWriter returns a LineWriter for out and starts its goroutine.
func NewLineWriter(out io.Writer) *LineWriter {
	w := &LineWriter{out: out, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; each call must pass one or more complete lines. A line that
// is written after Close is lost. The error is always nil.
func (w *LineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last log line that reported them.
func (w *LineWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and waits for this for at most timeout.
func (w *LineWriter) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes queued lines until Close, then those that are left.
func (w *LineWriter) run() {
	defer close(w.done)
	reportedAt := time.Now()
	for {
		select {
		case line := <-w.lines:
			reportedAt = w.write(line, reportedAt)
		case <-w.closing:
			for len(w.lines) > 0 {
				reportedAt = w.write(<-w.lines, reportedAt)
			}
			return
		}
	}
}

// write writes line and the lines queued behind it, and adds a line that reports dropped
// ones if the last such report is older than dropReportInterval. It returns the time of
// the last report.
func (w *LineWriter) write(line []byte, reportedAt time.Time) time.Time {
	batch := line
	for range len(w.lines) {
		batch = append(batch, <-w.lines...)
	}
	if now := time.Now(); w.dropped.Load() > 0 && now.Sub(reportedAt) > dropReportInterval {
		batch = fmt.Appendf(batch, "time=%q level=warning msg=\"log lines were dropped\" event=log_dropped lines=%d\n",
			now.Format(time.RFC3339Nano), w.dropped.Swap(0))
		reportedAt = now
	}
	_, _ = w.out.Write(batch) // A failure to write the log can't be logged.
	return reportedAt
}
