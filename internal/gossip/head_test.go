package gossip_test

import (
	"context"
	"errors"
	"net/http"
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
		listener, err := rawhttp.Listen(func(*http.Request) string { return broken.Wire })
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		if _, err := gossip.NewFetcher(httpio.DialTCP(nil)).Fetch(context.Background(), listener.Addr().String(), nil); !errors.Is(err, httpio.ErrMalformed) {
			t.Fatalf("%q: %v", broken.Wire, err)
		}
	})
}
