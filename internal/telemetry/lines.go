package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lineBacklog bounds the lines that wait for a slow reader of the log.
	lineBacklog = 2048
	// droppedInterval is the time between two lines that tell of dropped ones.
	droppedInterval = time.Second
)

// LineWriter passes lines on from a goroutine of its own. Write never blocks: a line
// that finds the backlog full is dropped and counted, so that a reader which stops
// reading slows no request.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close; lines is not, since others may still write.
	closing chan struct{}
	closed  sync.Once
	done    chan struct{}
}

// NewLineWriter returns a writer of lines to out.
func NewLineWriter(out io.Writer) *LineWriter {
	w := &LineWriter{out: out, lines: make(chan []byte, lineBacklog), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for whole lines. A line that comes after Close is left out.
func (w *LineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped since the last line that told of them.
func (w *LineWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, for at most timeout.
func (w *LineWriter) Close(timeout time.Duration) {
	w.closed.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *LineWriter) run() {
	defer close(w.done)
	told := time.Now()
	for {
		select {
		case line := <-w.lines:
			told = w.write(line, told)
		case <-w.closing:
			for len(w.lines) > 0 {
				told = w.write(<-w.lines, told)
			}
			return
		}
	}
}

// write writes a line and those that wait behind it. It tells of dropped lines, and
// returns when it last did.
func (w *LineWriter) write(line []byte, told time.Time) time.Time {
	batch := line
	for range len(w.lines) {
		batch = append(batch, <-w.lines...)
	}
	if now := time.Now(); w.dropped.Load() > 0 && now.Sub(told) > droppedInterval {
		batch = fmt.Appendf(batch, "time=%q level=warning msg=\"lines were left out of the log\" event=log_dropped lines=%d\n",
			now.Format(time.RFC3339Nano), w.dropped.Swap(0))
		told = now
	}
	_, _ = w.out.Write(batch) // There is no other place to report that the log can't be written.
	return told
}
