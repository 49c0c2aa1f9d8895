package drain_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/drain"
)

func draw(t *rapid.T, label string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
}

// Guards against LOST: requests that came late in the grace period were taken, and cut at its end.
func TestARequestThatIsTakenEndsInTimeUnlessItTakesLongerThanAnyBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		durations := drain.NewDurations(now)
		var longest time.Duration
		for range rapid.IntRange(0, 40).Draw(t, "requests") {
			now = now.Add(draw(t, "pause", 20*time.Second))
			took := draw(t, "took", 10*time.Second)
			longest = max(longest, took)
			durations.Record(now, "r", took)
		}
		stop := drain.Stop{At: now.Add(draw(t, "grace", 20*time.Second))}
		deadline := now.Add(draw(t, "limit", 30*time.Second))
		takes := draw(t, "takes", longest)
		expected, known := durations.Longest(now, "r")
		if !stop.Takes(now, deadline, expected, known) {
			if !deadline.After(stop.At) {
				t.Fatal("a request whose time limit is over before is refused")
			}
			return
		}
		end := now.Add(takes)
		if deadline.Before(end) {
			end = deadline
		}
		if end.After(stop.At) {
			t.Fatalf("a request that takes %s is taken %s before the end, after ones of up to %s", takes, stop.At.Sub(now), longest)
		}
	})
}

func TestARouteOfShortRequestsIsServedThroughoutTheGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	durations := drain.NewDurations(now)
	for range 100 {
		durations.Record(now, "short", 20*time.Millisecond)
	}
	longest, known := durations.Longest(now, "short")
	stop := drain.Stop{At: now.Add(7 * time.Second)}
	for after := time.Duration(0); after < 6800*time.Millisecond; after += 50 * time.Millisecond {
		if !stop.Takes(now.Add(after), now.Add(time.Minute), longest, known) {
			t.Fatalf("refused %s before the end", stop.At.Sub(now.Add(after)))
		}
	}
}

func TestDurationsAreKnownFromEnoughRequestsAndForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	durations := drain.NewDurations(now)
	for i := range 10 {
		if _, known := durations.Longest(now, "r"); known {
			t.Fatalf("known from %d requests", i)
		}
		durations.Record(now, "r", time.Duration(i)*time.Second)
	}
	for _, c := range []struct {
		after time.Duration
		known bool
	}{{0, true}, {5 * time.Minute, true}, {9 * time.Minute, true}, {11 * time.Minute, false}} {
		longest, known := durations.Longest(now.Add(c.after), "r")
		if known != c.known || known && longest != 9*time.Second {
			t.Fatalf("%s later: %s, known %t", c.after, longest, known)
		}
	}
	if _, known := durations.Longest(now, "another"); known {
		t.Fatal("another route is known")
	}
}

func TestADaemonThatIsAloneTakesWhatItCanNotJudge(t *testing.T) {
	now := time.Unix(1000, 0)
	stop, deadline := drain.Stop{At: now.Add(time.Second), Alone: true}, now.Add(time.Minute)
	if !stop.Takes(now, deadline, 0, false) {
		t.Fatal("nobody else would serve it")
	}
	if stop.Takes(now, deadline, 2*time.Second, true) {
		t.Fatal("it would be ended")
	}
	stop.Alone = false
	if stop.Takes(now, deadline, 0, false) {
		t.Fatal("another daemon serves it")
	}
}
