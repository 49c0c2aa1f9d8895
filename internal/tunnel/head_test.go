package tunnel

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/reach"
	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// Guards against MIXED: a head whose end is not the carrier's would leave a rest of it on the connection,
// where the endpoint's response is due.
func TestACarriersBrokenHeadIsNoConnection(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		broken := rawhttp.Broken(draw, verdictField+": "+string(reach.Connected))
		if verdict := answeredBy(t, broken.Head, false); verdict != reach.Lost {
			draw.Fatalf("%q is %s", broken.Head, verdict)
		}
	})
}
