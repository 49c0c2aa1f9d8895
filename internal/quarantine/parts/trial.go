package parts

import (
	"cmp"
	"slices"
	"time"
)

// A blocked part is tried with one request at a time, by one daemon of all. A trial may run for longer
// than its daemon's turn, so other daemons are told that it runs.

const (
	// trialRotation is the time after which another daemon makes the trials of a part: the one
	// before may get no request with it.
	trialRotation = 3 * time.Second
	// trialStartWindow is the time of each rotation in which a trial may start. In the rest of it others
	// hear of the trial, and of the block a little later or earlier.
	trialStartWindow = 2 * time.Second
	// trialLostAfter is the time after which another daemon's trial, of which nothing was heard since,
	// has ended or was lost with its daemon. Trials are told of each second.
	trialLostAfter = 5 * time.Second
	// maxSentTrials bounds the trials in the messages of one time.
	maxSentTrials = 8
)

// trial is what is known of a part's running trial.
type trial struct {
	// own is set while a trial runs here.
	own bool
	// heardAt is when a trial was last known to run at another daemon.
	heardAt time.Time
}

func (t trial) runs(now time.Time) bool { return t.own || now.Sub(t.heardAt) < trialLostAfter }

// RunningTrial says that a trial of a part was known to run Age ago.
type RunningTrial struct {
	_    struct{} `cbor:",toarray"`
	Part Key
	Age  time.Duration
}

// runningTrials returns the trials to tell of, the last known first.
func (l *Ledger) runningTrials(now time.Time) (running []RunningTrial) {
	for part, b := range l.blocks {
		if !b.blocked() || !b.trial.runs(now) {
			continue
		}
		t := RunningTrial{Part: part}
		if !b.trial.own {
			t.Age = now.Sub(b.trial.heardAt)
		}
		running = append(running, t)
	}
	slices.SortFunc(running, func(a, b RunningTrial) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part)) })
	return running[:min(len(running), maxSentTrials)]
}

func (l *Ledger) mergeTrial(now time.Time, other RunningTrial) {
	b := l.blocks[other.Part]
	if b == nil || !b.blocked() || other.Age < 0 {
		return
	}
	heardAt := now.Add(-other.Age - maxMessageDelay) // Daemons that tell each other must not keep a lost trial running.
	if heardAt.After(b.trial.heardAt) {
		if !b.trial.runs(now) {
			l.grew(now)
		}
		b.trial.heardAt = heardAt
	}
}

// startsTrial reports whether this daemon may start a trial of a blocked part now.
func (l *Ledger) startsTrial(now time.Time, part Key, b *block) bool {
	blockedFor := now.Sub(b.since)
	if now.Sub(b.nextTrial) < maxQuietWait && !l.quiet(now, part) {
		return false
	}
	return blockedFor%trialRotation < trialStartWindow && l.options.MakesTrials(part, int64(blockedFor/trialRotation))
}

// quiet reports whether an endpoint that crashes now would be evidence on this part: there was no crash
// just before, and no other part is tried.
func (l *Ledger) quiet(now time.Time, part Key) bool {
	if last := len(l.crashes) - 1; last >= 0 && now.Sub(l.crashes[last].at) < quietTime {
		return false
	}
	for other, b := range l.blocks {
		if other != part && b.blocked() && b.trial.runs(now) {
			return false
		}
	}
	return true
}

// trialDue returns the time until some daemon may start a trial, at least quickTrialAfter.
func (b *block) trialDue(now time.Time) time.Duration {
	due := max(quickTrialAfter, b.nextTrial.Sub(now))
	if inRotation := now.Add(due).Sub(b.since) % trialRotation; inRotation >= trialStartWindow {
		due += trialRotation - inRotation
	}
	return due
}

// exhausted reports whether a part has no more trials. The crashes count, as two daemons may each
// have made a trial before they knew of the other's.
func (l *Ledger) exhausted(b *block) bool {
	policy := l.options.Policy
	crashLimit := policy.MaxFreshTrialCrashes
	if b.established {
		crashLimit = policy.MaxEstablishedTrialCrashes
	}
	return crashLimit > 0 && b.trialCrashes >= crashLimit || policy.MaxBrokenTrials > 0 && int(b.failedTrials) >= policy.MaxBrokenTrials
}

// TrialEnded records the end of a trial: whether an endpoint crashed, or the request was not run.
// One that began is recorded by Began.
func (l *Ledger) TrialEnded(now time.Time, part Key, crashed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.blocks[part]
	if b == nil || !b.blocked() {
		return
	}
	b.trial.own = false
	if !crashed {
		b.nextTrial = now.Add(quickTrialAfter)
		return
	}
	b.failedTrials++
	b.nextTrial = now.Add(l.trialDelay(b))
	l.grew(now)
}

// trialDelay returns the time from the block, or from a failed trial, to the next trial.
func (l *Ledger) trialDelay(b *block) time.Duration {
	switch {
	case b.failedTrials > 0:
		return min(maxTrialAfter, l.options.Policy.FailedTrialAfter<<min(b.failedTrials-1, 10))
	case b.established:
		return quickTrialAfter
	}
	return l.options.Policy.TrialAfter
}

// countTrialCrash counts a crash under a blocked part as that of a trial if it came after the block.
// Once there are no more trials, the number of failed ones says so to daemons that start later.
func (l *Ledger) countTrialCrash(now time.Time, b *block, c *crash) {
	if l.options.Policy.MaxFreshTrialCrashes > 0 && b.blocked() && c.at.Sub(b.since) > settleTime {
		b.trialCrashes++
		b.nextTrial = later(b.nextTrial, now.Add(l.options.Policy.FailedTrialAfter))
		if l.exhausted(b) {
			b.failedTrials = max(b.failedTrials, uint32(l.options.Policy.MaxBrokenTrials))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
