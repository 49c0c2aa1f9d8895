package telemetry

import (
	"strings"
	"sync"
	"time"
)

const (
	// lineInterval is the time in which a LineLimit allows one line for a key, and linesPerInterval
	// the lines that it allows then for all keys together.
	lineInterval, linesPerInterval = time.Minute, 20
	// maxQuotedBytes bounds a text of others in a log line.
	maxQuotedBytes = 200
)

// LineLimit bounds the log lines on what others wrote, who may repeat it at will. The zero value is
// ready to use. It is safe for concurrent use.
type LineLimit struct {
	mu       sync.Mutex
	began    time.Time
	written  map[string]bool
	withheld int
}

// Allow reports whether a line about key may be written now, and how many lines were withheld since
// the last that was.
func (l *LineLimit) Allow(now time.Time, key string) (withheld int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if elapsed := now.Sub(l.began); elapsed >= lineInterval || elapsed < 0 {
		l.began, l.written = now, make(map[string]bool)
	}
	if l.written[key] || len(l.written) >= linesPerInterval {
		l.withheld++
		return 0, false
	}
	l.written[key] = true
	withheld, l.withheld = l.withheld, 0
	return withheld, true
}

// Shorten returns the begin of a text that others wrote, for a log line.
func Shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
