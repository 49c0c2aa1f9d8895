package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// TestWatchSuspensions advances the clock at once, as after a suspension.
func TestWatchSuspensions(t *testing.T) {
	g := NewWithT(t)
	var now atomic.Int64
	var resumed atomic.Int32
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchSuspensions(ctx, func() time.Duration { return time.Duration(now.Load()) }, telemetry.SilentLogger(), func() { resumed.Add(1) })
	time.Sleep(2 * suspensionCheckInterval)
	g.Expect(resumed.Load()).To(BeZero())
	now.Add(int64(5 * time.Second))
	g.Eventually(resumed.Load, 5*time.Second).Should(Equal(int32(1)))
	g.Consistently(resumed.Load, 2*suspensionCheckInterval).Should(Equal(int32(1)))
	g.Expect(bootTime()).To(BeNumerically(">", 0))
}
