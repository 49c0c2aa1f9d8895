package duty

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// Guards against a call that counts as done although the platform's response is none.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := rawhttp.Broken(t)
		listener, err := rawhttp.Listen(func(*http.Request) string { return broken.Wire })
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://platform/x", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		status, err := exchange(context.Background(), listener.Addr().String(), 20*time.Second, request, func() bool { return true }, func() bool { return false })
		if err == nil {
			t.Fatalf("%q has the status %d", broken.Wire, status)
		}
	})
}
