package httpio_test

import (
	"context"
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// exchangeOnce sends a request on a connection of its own, whose endpoint sends the bytes and closes it.
func exchangeOnce(wire string) (response *httpio.Response, body string, err error) {
	conn := httpio.NewConn(rawhttp.Pipe(wire))
	head := []byte("GET /x HTTP/1.1\r\nHost: h\r\n" + idField + ": a\r\n\r\n")
	response, err = conn.Exchange(context.Background(), head, nil, idField, "a")
	if err != nil {
		if _, writeErr := conn.Write([]byte("x")); writeErr == nil {
			return nil, "", errors.New("the connection is still open")
		}
		return nil, "", err
	}
	data, err := io.ReadAll(response.Body)
	_ = conn.Close()
	return response, string(data), err
}

// Guards against heads that reach the caller with a line that is no field, or with a body that begins or
// ends elsewhere than the endpoint's.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := rawhttp.Broken(t, idField+": a")
		_, body, err := exchangeOnce(broken.Wire)
		if !errors.Is(err, httpio.ErrMalformed) {
			t.Fatalf("%q is taken for a response with the body %q: %v", broken.Wire, body, err)
		}
	})
}

// Guards against a body that is complete although what ends it is broken.
func TestBrokenTrailerEndsNoBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := rawhttp.BrokenTrailer(t, idField+": a")
		_, body, err := exchangeOnce(broken.Wire)
		if !errors.Is(err, httpio.ErrMalformed) {
			t.Fatalf("%q is taken for a whole response with the body %q: %v", broken.Wire, body, err)
		}
	})
}

// Guards against a rule that refuses what sound servers send.
func TestSoundHeadIsAResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sound := rawhttp.Sound(t, idField+": a")
		response, body, err := exchangeOnce(sound.Wire)
		if err != nil {
			t.Fatalf("%q is refused: %v", sound.Wire, err)
		}
		if body != sound.Body || !response.Identified || response.Header.StatusCode() != 200 || string(response.Header.Peek(sound.OddField)) != "v" {
			t.Fatalf("%q is read as %q with the body %q", sound.Wire, response.Header.String(), body)
		}
	})
}
