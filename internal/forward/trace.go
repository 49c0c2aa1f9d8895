package forward

import (
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

// attemptTrace records what one attempt received and forwarded, for logs and metrics.
type attemptTrace struct {
	// connectionUses is the number of requests sent on the connection, including this one.
	connectionUses int
	// skipped is the number of responses to other requests that preceded the response.
	skipped int
	// unidentified is set if the response does not echo the request's id.
	unidentified bool
	// framing says what ends the response, or "" if there was none.
	framing httpio.Framing
	// brokenStream is set if the response was a stream that broke off.
	brokenStream bool
	// incomplete is the number of bytes of the incomplete event at which a stream broke.
	incomplete int
	// forwarded is the number of bytes of the response body that went to the caller.
	forwarded int
}

func (t *attemptTrace) recordResponse(response *httpio.Response) {
	t.skipped, t.unidentified, t.framing = response.Skipped, !response.Identified, response.Framing()
}

// unusual reports whether a successful attempt has something to explain.
func (t *attemptTrace) unusual() bool { return t.skipped > 0 || t.unidentified }

func (t *attemptTrace) fields() logrus.Fields {
	return logrus.Fields{
		"connection_uses": t.connectionUses, "skipped": t.skipped, "unidentified": t.unidentified,
		"incomplete": t.incomplete, "forwarded": t.forwarded, "framing": t.framing,
	}
}
