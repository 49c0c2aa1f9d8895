package gossip_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// Guards against a snapshot whose bytes are not the peer's.
func TestAPeersBrokenHeadIsNoResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := rawhttp.Broken(t, "Content-Type: application/proto")
		fetcher := gossip.NewFetcher(func(context.Context, string) (net.Conn, error) { return rawhttp.Pipe(broken.Wire), nil })
		if _, err := fetcher.Fetch(context.Background(), "192.0.2.1:80", nil); !errors.Is(err, httpio.ErrMalformed) {
			t.Fatalf("%q: %v", broken.Wire, err)
		}
	})
}
