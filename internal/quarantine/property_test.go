package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/quarantine"
)

// genEntries draws the evidence of one daemon.
func genEntries(t *rapid.T, label string) []quarantine.Entry {
	r := quarantine.New(quarantine.Config{SuspectFor: time.Hour, BlockFor: time.Hour})
	now := start
	for range rapid.IntRange(0, 6).Draw(t, label+" steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "gap")) * time.Second)
		digest := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "digest")
		if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
			r.Cleared(now, digest)
			continue
		}
		endpoint := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "endpoint")
		r.Crashed(now, endpoint, []string{digest})
	}
	return r.Entries(now)
}

// merged returns what a register holds after merging the parts in order.
func merged(parts ...[]quarantine.Entry) []quarantine.Entry {
	r := quarantine.New(quarantine.Config{})
	for _, p := range parts {
		r.Merge(start, p)
	}
	return lo.Map(r.Entries(start), func(e quarantine.Entry, _ int) quarantine.Entry {
		e.Version = 0
		return e
	})
}

func requireSame(t *rapid.T, what string, a, b []quarantine.Entry) {
	withoutTime := func(e quarantine.Entry, _ int) quarantine.Entry { e.ExpiresIn = 0; return e }
	x, y := lo.Map(a, withoutTime), lo.Map(b, withoutTime)
	if len(x) != len(y) {
		t.Fatalf("%s: %v and %v", what, x, y)
	}
	for i := range x {
		if x[i].Digest != y[i].Digest || x[i].State != y[i].State || !lo.ElementsMatch(x[i].Crashes, y[i].Crashes) {
			t.Fatalf("%s: %v and %v", what, x[i], y[i])
		}
	}
}

func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genEntries(t, "a"), genEntries(t, "b"), genEntries(t, "c")
		requireSame(t, "idempotent", merged(a, b), merged(a, b, b, a))
		requireSame(t, "commutative", merged(a, b), merged(b, a))
		requireSame(t, "associative", merged(merged(a, b), c), merged(a, merged(b, c)))
	})
}

// gossipDelay is the time within which each daemon hears of a crash.
const gossipDelay = time.Second

// TestAtMostTwoEndpointsFall sends a poison request again and again to generated
// daemons. Each resend comes at least one gossip delay after the crash before;
// what a daemon knows comes from its own attempts and from gossip of that delay.
func TestAtMostTwoEndpointsFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := make([]*quarantine.Register, rapid.IntRange(2, 8).Draw(t, "daemons"))
		for i := range daemons {
			daemons[i] = quarantine.New(quarantine.Config{})
		}
		now, falls := start, 0
		for range 12 {
			now = now.Add(gossipDelay + time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait"))*time.Millisecond)
			at := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]
			if at.State(now, poison) == quarantine.Blocked {
				continue
			}
			endpoint := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(t, "endpoint")
			now = now.Add(quarantine.DefaultDedupWindow)
			at.Crashed(now, endpoint, []string{poison})
			falls++
			for _, d := range daemons {
				d.Merge(now.Add(gossipDelay), at.Entries(now))
			}
		}
		if falls > 2 {
			t.Fatalf("%d endpoints fell", falls)
		}
	})
}

// TestTrialsAreBounded sends content that completed, and from some time on crashes each
// endpoint, again and again to generated daemons: each may let MaxProbes more through.
// Content that never completed gets no trial.
func TestTrialsAreBounded(t *testing.T) {
	cfg := quarantine.Config{BlockThreshold: 3, BlockFor: time.Minute, SuspectFor: time.Minute, CompletionTTL: 30 * time.Second, ProbeInterval: time.Second, MaxFailedProbes: 3}
	rapid.Check(t, func(t *rapid.T) {
		daemons := make([]*quarantine.Register, rapid.IntRange(1, 6).Draw(t, "daemons"))
		for i := range daemons {
			daemons[i] = quarantine.New(cfg)
		}
		completed := rapid.Bool().Draw(t, "completed")
		if completed {
			for _, d := range daemons {
				d.Cleared(start, poison)
			}
		}
		now, falls := start, 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "wait")) * time.Millisecond)
			if now.Sub(start) > cfg.BlockFor {
				break
			}
			at := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]
			if !at.Admit(now, poison).Admitted {
				continue
			}
			falls++
			at.Crashed(now, fmt.Sprint("e", falls), []string{poison})
			for _, d := range daemons {
				d.Merge(now, at.Entries(now))
			}
		}
		most := cfg.BlockThreshold
		if completed {
			most += len(daemons) * cfg.MaxFailedProbes
		}
		if falls > most {
			t.Fatalf("%d endpoints fell, at most %d may", falls, most)
		}
	})
}
