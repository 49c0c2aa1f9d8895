package forward

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
)

// begunEvents is the number of events from which on a response has begun: an endpoint that crashes
// under a part may still send the first one.
const begunEvents = 2

// beginning records when a response began.
type beginning struct {
	// firstAt is the time of the first event.
	firstAt time.Time
	begun   bool
}

// admitParts refuses a request with a part that crashes endpoints, unless it is a trial.
func (j *job) admitParts() *failure.Failure {
	j.chain = parts.NewChain(j.service, lo.Map(j.promptParts, func(p balance.PromptPart, _ int) string { return p.ID }))
	decision := j.f.Parts.Admit(time.Now(), j.chain)
	if !decision.Admitted {
		j.f.metrics.countBlockedPart(j.service)
		j.f.Log.WithFields(j.partFields("part_refused", decision.Part)).Info("refused: a part of the prompt crashes endpoints")
		retryDelay := decision.RetryAfter + rand.N(suspendedRetryJitter)
		return failure.New(failure.Suspended, "endpoints crashed under a part of this prompt; it is refused for a while").WithRetryAfter(retryDelay)
	}
	if decision.Trial {
		j.trialOf = decision.Part
		j.f.Log.WithFields(j.partFields("part_trial", decision.Part)).Info("one request with a part that crashed endpoints is tried")
	}
	return nil
}

// partFields returns the log fields of a decision about a blocked part, with its ID in the prompt.
func (j *job) partFields(event string, part parts.Key) logrus.Fields {
	declared, _ := lo.Find(j.promptParts, func(p balance.PromptPart) bool { return parts.KeyOf(j.service, p.ID) == part })
	return logrus.Fields{"event": event, "request_id": j.id, "route": j.route.Name, "service": j.service, "part": part, "part_id": declared.ID}
}

// endTrial records that a trial ended without a crash. One that broke has ended before.
func (j *job) endTrial() {
	if j.trialOf != 0 {
		j.f.Parts.TrialEnded(time.Now(), j.trialOf, false)
	}
}

// failTrial records that the connection of a trial broke.
func (j *job) failTrial() {
	if j.trialOf != 0 {
		j.f.Parts.TrialEnded(time.Now(), j.trialOf, true)
		j.trialOf = 0
	}
}

// mayRepeatParts reports whether a request may be sent again after an attempt: a trial runs once,
// and a part may have been blocked in the meantime.
func (j *job) mayRepeatParts(outcome attemptOutcome) bool {
	if j.trialOf != 0 {
		return !outcome.mayHaveRun
	}
	return !j.f.Parts.Blocks(j.chain)
}

// unbegunChain returns the parts of the prompt if the response had not begun.
func (a *attempt) unbegunChain() parts.Chain {
	if a.begin.begun {
		return nil
	}
	return a.chain
}

// noteEvents records that the response has that many events.
func (a *attempt) noteEvents(now time.Time, events int) {
	if a.begin.firstAt.IsZero() {
		a.begin.firstAt = now
	}
	if events >= begunEvents {
		a.noteBegun(now)
	}
}

// noteComplete records that the response is complete.
func (a *attempt) noteComplete(now time.Time) {
	if a.begin.firstAt.IsZero() {
		a.begin.firstAt = now
	}
	a.noteBegun(now)
}

func (a *attempt) noteBegun(now time.Time) {
	if !a.begin.begun {
		a.begin.begun = true
		a.f.Parts.Began(now, a.begin.firstAt, a.chain)
	}
}
