package httphead_test

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/httphead"
	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// scan reads heads up to the final one, piece by piece. It returns the final head and what follows.
func scan(t *rapid.T, wire []byte) (head, rest []byte, plain bool, err error) {
	var lines httphead.Scanner
	begin, end := 0, 0
	for known := 0; known < len(wire); {
		known = min(len(wire), known+rapid.IntRange(1, 50).Draw(t, "piece"))
		for {
			n, done, err := lines.Scan(wire[end:known])
			end += n
			if err != nil {
				return nil, nil, false, err
			}
			if !done {
				break
			}
			if !lines.Informational() {
				return wire[begin:end], wire[end:], lines.Plain(), nil
			}
			lines, begin = httphead.Scanner{}, end
		}
	}
	return nil, nil, false, errors.New("no end")
}

func TestBrokenHeads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		broken := rawhttp.Broken(t)
		if _, _, _, err := scan(t, []byte(broken.Wire)); !errors.Is(err, httphead.ErrMalformed) {
			t.Fatalf("%q: %v", broken.Wire, err)
		}
	})
}

// Guards against a canonical form that says something else.
func TestSoundHeads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sound := rawhttp.Sound(t)
		head, rest, plain, err := scan(t, []byte(sound.Wire))
		if err != nil {
			t.Fatalf("%q: %v", sound.Wire, err)
		}
		canonical := httphead.Canonical(head)
		var lines httphead.Scanner
		if n, done, err := lines.Scan(canonical); n != len(canonical) || !done || err != nil || !lines.Plain() {
			t.Fatalf("%q becomes %q: %v", head, canonical, err)
		}
		if plain && !bytes.Equal(head, canonical) {
			t.Fatalf("%q is plain, and becomes %q", head, canonical)
		}
		before, after := parse(t, head, rest), parse(t, canonical, rest)
		if before.StatusCode != lines.Status() || before.ContentLength != after.ContentLength || !reflect.DeepEqual(before.Header, after.Header) || !reflect.DeepEqual(before.TransferEncoding, after.TransferEncoding) {
			t.Fatalf("%q becomes %q: %+v, %+v", head, canonical, before, after)
		}
	})
}

func parse(t *rapid.T, head, rest []byte) *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(append(bytes.Clone(head), rest...))), nil)
	if err != nil {
		t.Fatalf("%q: %v", head, err)
	}
	_ = response.Body.Close()
	return response
}

func FuzzScan(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\n b\r\nContent-Length: 2\n\n"))
	f.Add([]byte("\r\nHTTP/1.1 103 Early Hints\r\nX Y: a\r\n\r\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		var lines httphead.Scanner
		n, done, err := lines.Scan(wire)
		if err != nil {
			return
		}
		if n > len(wire) || done && (wire[n-1] != '\n' || lines.Status() < 100 || lines.Status() > 599) {
			t.Fatalf("%d bytes, status %d", n, lines.Status())
		}
		if !done {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(httphead.Canonical(bytes.TrimLeft(wire[:n], "\r\n")))), nil)
		if err != nil {
			t.Fatalf("a parser refuses %q: %v", wire[:n], err)
		}
		defer func() { _ = response.Body.Close() }()
		for name, values := range response.Header {
			if err := httphead.CheckField(name, values[0]); err != nil {
				t.Fatalf("a parser reads %q: %v", wire[:n], err)
			}
		}
	})
}
