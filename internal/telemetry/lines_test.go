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

// blockedWriter is an io.Writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (r *blockedWriter) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written.Write(p)
}

func (r *blockedWriter) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written.String()
}

// TestLineWriterNeverBlocks logs more lines than the queue holds while the output is
// blocked. It hangs if a write waits for the output.
func TestLineWriterNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := telemetry.NewLineWriter(out)
	log := telemetry.NewLogger(w, "info")
	const lines = 10_000
	for range lines {
		log.WithField("event", "request").Info("request ended")
	}
	dropped := w.Dropped()
	g.Expect(dropped).To(BeNumerically(">", lines/2))
	close(out.release)
	g.Eventually(func() string {
		log.Info("later")
		return out.String()
	}, 10*time.Second).Should(ContainSubstring("event=log_dropped"))
	w.Close(10 * time.Second)
	output := out.String()
	written := strings.Count(output, "event=request")
	g.Expect(int64(written) + dropped).To(Equal(int64(lines)))
	for _, line := range strings.Split(strings.TrimSpace(output), "\n") {
		g.Expect(line).To(HavePrefix("time="), "lines must not be split")
	}
}

// TestLineWriterAfterClose writes during and after Close, as goroutines do that are still
// running at shutdown. Write panicked there in the grace period (soak seed 601).
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
