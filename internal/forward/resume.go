package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/resume"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// resumeStream finds the service and the version at which a stream that its caller resumes
// began, and refuses it if they are not known.
func (j *job) resumeStream() *failure.Failure {
	last := string(j.request.Header.Peek(j.f.Headers.LastEventID))
	if !j.route.Resumable || last == "" {
		return nil
	}
	j.streamID = string(j.request.Header.Peek(j.f.Headers.Resumes))
	asked := time.Now()
	found := j.f.Streams.Resolve(j.ctx, j.streamID, j.route.Key(), j.service)
	allowed := found.Verdict != resume.Unknown && slices.ContainsFunc(j.route.Backends, func(b routetable.Backend) bool { return b.Service == found.Service })
	j.f.Log.WithFields(logrus.Fields{
		"event": "resume", "request_id": j.id, "resumes": j.streamID, "last_event": last, "route": j.route.Name, "service": found.Service, "version": found.Version,
		"verdict": found.Verdict, "allowed": allowed, "recent": found.Recent, "asked": found.Asked, "answered": found.Answered,
		"gateways": found.Gateways, "followers": found.Followers, "platform_read": found.Fresh, "elapsed": time.Since(asked),
		"endpoints_version": j.f.EndpointsVersion(), "endpoints_age": j.f.EndpointsAge(time.Now()),
	}).Info("a caller resumes a stream")
	j.f.metrics.countResumed(found.Verdict)
	if !allowed {
		retryDelay := refusedRetryAfter + rand.N(refusedRetryJitter)
		return failure.New(failure.NoEndpoint, "it is not known which version of an endpoint began the stream").WithRetryAfter(retryDelay)
	}
	j.service, j.version = found.Service, &found.Version
	return nil
}

// unspreadVersions returns the versions at which the caller's stream should not begin, as other
// gateways could not tell at which version it did.
func (j *job) unspreadVersions() []string {
	if !j.route.Resumable || j.version != nil {
		return nil
	}
	return j.f.Streams.Unspread(j.service)
}

// streamBegan records where the caller's stream began. It is called before the first event is
// sent.
func (j *job) streamBegan(choice *balance.Choice) {
	j.version = &choice.Version
	if !j.route.Resumable {
		return
	}
	if j.streamID == "" {
		j.streamID = j.id
	}
	origin := resume.Origin{Service: j.service, Version: choice.Version}
	if !j.f.Streams.IsSpread(origin) {
		j.f.metrics.countUnspread(j.service)
	}
	j.f.Streams.Began(time.Now(), j.streamID, j.route.Key(), origin, j.deadline)
}

// streamFields returns the log fields of a placement on a route whose streams may be resumed: the
// version of the endpoint, whether enough gateways know it and, if it continues a stream, the last
// event that this gateway sent and the request that brought the first.
func (j *job) streamFields(choice *balance.Choice) logrus.Fields {
	switch {
	case j.version != nil:
		return logrus.Fields{"version": choice.Version, "last_event": j.lastEventID, "resumes": j.streamID}
	case j.route.Resumable:
		return logrus.Fields{"version": choice.Version, "spread": j.f.Streams.IsSpread(resume.Origin{Service: j.service, Version: choice.Version})}
	}
	return nil
}
