package forward

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
)

// awaitBlocks waits until it is known which contents and parts are blocked, for a share of the
// request's time at most.
func (j *job) awaitBlocks() {
	known := j.f.BlocksKnown()
	select {
	case <-known:
		return
	default:
	}
	waited := time.NewTimer(time.Until(j.deadline) / blockWaitShare)
	defer waited.Stop()
	select {
	case <-known:
	case <-waited.C:
	case <-j.ctx.Done():
	}
}

// admitContent refuses a request under whose content endpoints crashed, unless it is a trial. It
// waits for the crash probes of that content.
func (j *job) admitContent() *failure.Failure {
	j.content = j.contentKey()
	j.f.crashProber.await(j.ctx, j.content)
	decision := j.f.Contents.Admit(time.Now(), parts.Chain{j.content})
	if !decision.Admitted {
		j.f.metrics.countBlockedContent(j.service)
		j.f.Log.WithFields(j.contentFields("content_refused")).WithField("retry_after", decision.RetryAfter).Info("refused: endpoints crashed under this content")
		retryDelay := decision.RetryAfter + rand.N(suspendedRetryJitter)
		return failure.New(failure.Suspended, "endpoints crashed under this content; it is refused for a while").WithRetryAfter(retryDelay)
	}
	if decision.Trial {
		j.contentTrial = true
		j.f.Log.WithFields(j.contentFields("content_trial")).Info("one request with content that crashed endpoints is tried")
	}
	return nil
}

func (j *job) contentFields(event string) logrus.Fields {
	return logrus.Fields{"event": event, "request_id": j.id, "route": j.route.Name, "service": j.service, "content": j.content}
}

// endContentTrial records that a trial of the content ended without a broken connection. A complete
// response has lifted the block before.
func (j *job) endContentTrial() {
	if j.contentTrial {
		j.f.Contents.TrialEnded(time.Now(), j.content, false)
	}
}

// failContentTrial records that the connection of a trial of the content broke.
func (j *job) failContentTrial() {
	if j.contentTrial {
		j.f.Contents.TrialEnded(time.Now(), j.content, true)
		j.contentTrial = false
	}
}

// mayRepeatContent reports whether the content may be sent again after an attempt: a trial runs
// once, and the attempt or others meanwhile may have crashed endpoints.
func (j *job) mayRepeatContent(outcome attemptOutcome) bool {
	if outcome.result == balance.Broken {
		j.f.crashProber.await(j.ctx, j.content)
	}
	blocked := j.f.Contents.Blocks(parts.Chain{j.content})
	return !blocked || j.contentTrial && !outcome.mayHaveRun
}

// recordCompletion records that an endpoint completed the request. It must be called before the
// end of the response goes out, as the caller may send the same content again at once.
func (a *attempt) recordCompletion() {
	a.f.Contents.Began(time.Now(), a.sentAt, parts.Chain{a.content})
}
