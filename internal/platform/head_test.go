package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// Guards against a call that counts as successful although the platform's response is none.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := rawhttp.Broken(t)
		client := platform.NewClient(platform.ClientOptions{
			BaseURL: "http://192.0.2.1", Dial: func(context.Context, string) (net.Conn, error) { return rawhttp.Pipe(broken.Wire), nil },
		})
		err := client.Delete(context.Background(), "c", "a", 1)
		if !errors.Is(err, httpio.ErrMalformed) || platform.ReasonOf(err) != platform.Uncertain {
			t.Fatalf("%q: %v", broken.Wire, err)
		}
		_, err = client.Watch(context.Background(), "c", 1)
		if !errors.Is(err, httpio.ErrMalformed) || platform.ReasonOf(err) != platform.Unavailable {
			t.Fatalf("%q: %v", broken.Wire, err)
		}
	})
}

// Guards against a watch without a body to read.
func TestWatchWithoutABodyIsAnError(t *testing.T) {
	for _, status := range []string{"201 Created", "204 No Content"} {
		listener, err := rawhttp.Listen(func(*http.Request) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n" })
		if err != nil {
			t.Fatal(err)
		}
		_, err = platform.NewClient(platform.ClientOptions{BaseURL: "http://" + listener.Addr().String()}).Watch(context.Background(), "c", 1)
		if platform.ReasonOf(err) != platform.Unavailable {
			t.Fatalf("%s: %v", status, err)
		}
		_ = listener.Close()
	}
}
