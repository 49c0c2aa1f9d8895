package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// TestWatchFreezes lets the clock jump, as after a suspension.
func TestWatchFreezes(t *testing.T) {
	g := NewWithT(t)
	var now atomic.Int64
	var woke atomic.Int32
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchFreezes(ctx, func() time.Duration { return time.Duration(now.Load()) }, telemetry.SilentLogger(), func() { woke.Add(1) })
	time.Sleep(2 * freezeTick)
	g.Expect(woke.Load()).To(BeZero())
	now.Add(int64(5 * time.Second))
	g.Eventually(woke.Load, 5*time.Second).Should(Equal(int32(1)))
	g.Consistently(woke.Load, 2*freezeTick).Should(Equal(int32(1)))
	g.Expect(bootTime()).To(BeNumerically(">", 0))
}
