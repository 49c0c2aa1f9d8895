package parts

import "time"

// Policy is how a ledger weighs its evidence and how much it keeps.
type Policy struct {
	// FreshThreshold and EstablishedThreshold are the numbers of crashes at which a part is blocked:
	// one with which no response began lately, and one that has served.
	FreshThreshold, EstablishedThreshold int
	// StartThreshold, if set, is the number of crashes for a daemon that has just started: crashes before
	// that may be forgotten, if all daemons started at once.
	StartThreshold int
	// CrashSpacing is the time within which crashes count once against the first part of prompts:
	// endpoints that fall together, as with their rack, are no more evidence than one.
	CrashSpacing time.Duration
	// CrashRetention is how long a crash is evidence.
	CrashRetention time.Duration
	// BlockIdleTime is how long a block lasts that refuses no request.
	BlockIdleTime time.Duration
	// TrialAfter is the delay of the first trial of a part that was not established, and
	// FailedTrialAfter that after a failed trial, doubled with each one up to maxTrialAfter.
	TrialAfter, FailedTrialAfter time.Duration
	// MaxFreshTrialCrashes and MaxEstablishedTrialCrashes are the numbers of crashes in trials after
	// which there are no more trials, and MaxBrokenTrials that of trials whose connection broke for
	// whatever reason. Zero means no limit.
	MaxFreshTrialCrashes, MaxEstablishedTrialCrashes, MaxBrokenTrials int
	// MaxCrashes, MaxChains and MaxBlocks bound the evidence: crashes, requests for each crash, and
	// blocks with those that were lifted.
	MaxCrashes, MaxChains, MaxBlocks int
	// SentByTurns is set if evidence that has not grown lately is sent a message at a time.
	SentByTurns bool
}

// PartPolicy returns the policy for parts of prompts. Its thresholds are below and at the five
// crashes after which a part has to be known.
func PartPolicy() Policy {
	return Policy{
		FreshThreshold: 3, EstablishedThreshold: 5, CrashSpacing: 100 * time.Millisecond, CrashRetention: time.Minute,
		BlockIdleTime: 10 * time.Minute, TrialAfter: time.Minute, FailedTrialAfter: 2 * time.Minute,
		MaxCrashes: 64, MaxChains: 8, MaxBlocks: 64,
	}
}

// RequestPolicy returns the policy for whole requests: after three crashes, three more requests
// may reach endpoints in a day.
func RequestPolicy() Policy {
	return Policy{
		FreshThreshold: 3, EstablishedThreshold: 3, StartThreshold: 2, CrashRetention: 24 * time.Hour,
		BlockIdleTime: 24 * time.Hour, TrialAfter: 2 * trialRotation, FailedTrialAfter: 20 * time.Second,
		MaxFreshTrialCrashes: 1, MaxEstablishedTrialCrashes: 2, MaxBrokenTrials: 2,
		MaxCrashes: 256, MaxChains: 32, MaxBlocks: 256, SentByTurns: true,
	}
}

// threshold returns the number of crashes that a part must explain to be blocked, by a daemon that
// started so long ago.
func (p Policy) threshold(established bool, uptime time.Duration) int {
	switch {
	case established:
		return p.EstablishedThreshold
	case p.StartThreshold > 0 && uptime < startTime:
		return p.StartThreshold
	}
	return p.FreshThreshold
}
