package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// suspensionCheckInterval is the interval between two readings of the clock.
	suspensionCheckInterval = 200 * time.Millisecond
	// suspensionThreshold is the shortest gap between two readings that counts as a
	// suspension; on a busy machine a reading is delayed by less.
	suspensionThreshold = time.Second
)

// bootTime returns the time since the machine started, including time spent suspended,
// which Go's monotonic clock leaves out.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0 // Every Linux has this clock; without it a suspension goes undetected.
	}
	return time.Duration(now.Nano())
}

// watchSuspensions calls onResume after each period in which the process did not run:
// cached state is then older than its timers indicate.
func watchSuspensions(ctx context.Context, clock func() time.Duration, log *logrus.Logger, onResume func()) {
	last := clock()
	for ctx.Err() == nil {
		sleep(ctx, suspensionCheckInterval)
		now := clock()
		if gap := now - last; gap > suspensionThreshold {
			log.WithFields(logrus.Fields{"event": "woke", "frozen": gap}).Warn("the process resumed after a suspension; cached state is refreshed")
			onResume()
		}
		last = now
	}
}
