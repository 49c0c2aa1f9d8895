package endpoint_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// clientOf returns a client whose endpoint sends the bytes after each request and closes the connection.
func clientOf(wire string) *endpoint.Client {
	return endpoint.NewClient(endpoint.Options{Dial: func(context.Context, string, string) (net.Conn, error) {
		return rawhttp.Pipe(wire), nil
	}})
}

var anyEndpoint = catalog.Endpoint{Name: "e1", Service: "s", Address: "192.0.2.1:80"}

// do makes a plain call and reads the whole response.
func do(wire string) (body string, err error) {
	client := clientOf(wire)
	defer client.Close()
	response, err := client.Do(context.Background(), endpoint.PlainCall{Endpoint: anyEndpoint, Method: http.MethodPost, Path: "/x", RequestID: "r", Body: []byte("x")})
	if err != nil {
		return "", err
	}
	defer response.Close()
	data, err := io.ReadAll(response)
	return string(data), err
}

// requireMalformed fails unless err says that the endpoint is answerable and may have run the request.
func requireMalformed(t *rapid.T, wire string, err error) {
	var failed *endpoint.Error
	if !errors.As(err, &failed) || failed.Cause != endpoint.Malformed || !failed.MayHaveStarted() {
		t.Fatalf("%q: %v", wire, err)
	}
}

// Guards against heads that reach the caller with a line that is no field, or with a body that begins or
// ends elsewhere than the endpoint's.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := rawhttp.Broken(t, "Content-Type: text/event-stream")
		_, err := do(broken.Wire)
		requireMalformed(t, broken.Wire, err)
		client := clientOf(broken.Wire)
		defer client.Close()
		_, err = client.Open(context.Background(), newCall(anyEndpoint, helloBody))
		requireMalformed(t, broken.Wire, err)
		_, err = client.Load(context.Background(), anyEndpoint)
		requireMalformed(t, broken.Wire, err)
	})
}

// Guards against a body that is complete although what ends it is broken.
func TestBrokenTrailerEndsNoBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := rawhttp.BrokenTrailer(t)
		body, err := do(broken.Wire)
		var failed *endpoint.Error
		if !errors.As(err, &failed) || !failed.MayHaveStarted() {
			t.Fatalf("%q is taken for a whole response with the body %q: %v", broken.Wire, body, err)
		}
	})
}

// Guards against a rule that refuses what sound servers send.
func TestSoundHeadIsAResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sound := rawhttp.Sound(t)
		if body, err := do(sound.Wire); err != nil || body != sound.Body {
			t.Fatalf("%q is read as %q: %v", sound.Wire, body, err)
		}
	})
}

// Guards against a check that ends with the first response of a connection.
func TestBrokenHeadOnAKeptConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := rawhttp.Broken(t)
		responses := make(chan string, 2)
		responses <- "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		client := endpoint.NewClient(endpoint.Options{Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer func() { _ = far.Close() }()
				reader := bufio.NewReader(far)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					select {
					case response := <-responses:
						_, _ = io.WriteString(far, response)
					default:
						_, _ = io.WriteString(far, broken.Wire)
						return
					}
				}
			}()
			return near, nil
		}})
		defer client.Close()
		if _, err := client.Load(context.Background(), anyEndpoint); err != nil {
			t.Fatal(err)
		}
		_, err := client.Load(context.Background(), anyEndpoint)
		requireMalformed(t, broken.Wire, err)
	})
}
