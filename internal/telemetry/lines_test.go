package telemetry_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// stuckReader takes nothing until it is released.
type stuckReader struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (r *stuckReader) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(p)
}

func (r *stuckReader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.String()
}

// TestLineWriterNeverBlocks writes more lines than fit while the reader takes none. It
// hangs if a write waits for the reader.
func TestLineWriterNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	reader := &stuckReader{release: make(chan struct{})}
	w := telemetry.NewLineWriter(reader)
	log := telemetry.NewLogger(w, "info")
	const lines = 10_000
	for range lines {
		log.WithField("event", "request").Info("request ended")
	}
	dropped := w.Dropped()
	g.Expect(dropped).To(BeNumerically(">", lines/2))
	close(reader.release)
	g.Eventually(func() string {
		log.Info("later")
		return reader.String()
	}, 10*time.Second).Should(ContainSubstring("event=log_dropped"))
	w.Close(10 * time.Second)
	told := reader.String()
	written := strings.Count(told, "event=request")
	g.Expect(int64(written) + dropped).To(Equal(int64(lines)))
	for _, line := range strings.Split(strings.TrimSpace(told), "\n") {
		g.Expect(line).To(HavePrefix("time="), "lines stay whole")
	}
}

// TestLineWriterAfterClose writes while the writer is closed and after it, as goroutines
// that outlive the shutdown do (soak seed 601: the process panicked within its grace).
func TestLineWriterAfterClose(t *testing.T) {
	for range 100 {
		w := telemetry.NewLineWriter(io.Discard)
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 50 {
					if n, err := w.Write([]byte("late\n")); n != 5 || err != nil {
						t.Errorf("wrote %d: %v", n, err)
					}
				}
			})
		}
		w.Close(time.Second)
		writers.Wait()
		w.Close(time.Second)
	}
}
