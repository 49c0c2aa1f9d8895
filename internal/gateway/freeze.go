package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// freezeTick is the time between two looks at the clock.
	freezeTick = 200 * time.Millisecond
	// freezeGap is the time between two looks from which the process counts as frozen; a
	// busy machine is late by less.
	freezeGap = time.Second
)

// bootTime is the time since the machine started, the time in which it was suspended
// included; Go's own clock leaves that out.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0 // Every Linux has this clock; without it a freeze is not noticed.
	}
	return time.Duration(now.Nano())
}

// watchFreezes calls woke after each time in which the process did not run: what it
// believes is older than its timers say.
func watchFreezes(ctx context.Context, clock func() time.Duration, log *logrus.Logger, woke func()) {
	last := clock()
	for ctx.Err() == nil {
		sleep(ctx, freezeTick)
		now := clock()
		if gap := now - last; gap > freezeGap {
			log.WithFields(logrus.Fields{"event": "woke", "frozen": gap}).Warn("the process did not run for a time; its beliefs are renewed")
			woke()
		}
		last = now
	}
}
