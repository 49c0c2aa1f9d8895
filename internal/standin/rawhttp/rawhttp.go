// Package rawhttp draws and serves, as bytes, the responses of servers that are sound, and of servers in
// trouble, whose heads are none (RFC 9110, RFC 9112) or have no end. It is for tests of what reads responses.
package rawhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"

	"pgregory.net/rapid"
)

// Response is a response as the bytes on a connection, which ends behind it.
type Response struct {
	Wire string
	// Head is the part of Wire that ends with the last empty line of a head.
	Head string
	// Body is what the framing delimits, and OddField the name of a further field with the value "v".
	Body, OddField string
}

const (
	crlf = "\r\n"
	body = "body"
)

// framed returns the fields that frame the body, and the bytes behind the head.
func framed(t *rapid.T) (fields []string, rest string) {
	switch rapid.SampledFrom([]string{"length", "length twice", "chunks", "connection"}).Draw(t, "framing") {
	case "length":
		return []string{"Content-Length: 4"}, body
	case "length twice":
		return []string{"Content-Length: 4", "content-length:4"}, body
	case "chunks":
		return []string{"Transfer-Encoding: chunked"}, "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
	}
	return nil, body
}

// ordinaryFields are fields of sound servers.
var ordinaryFields = []string{
	"Server: a/1.0 (b)", "Date: Mon, 07 Dec 2026 07:48:00 GMT", "X-Empty:", "X-Blanks: \t a  b \t", "X-Bytes: \xe9\xff", "!#$%&'*+-.^_`|~9z: v",
	"Via: HTTP/1.1 203.0.113.5", "Cache-Control: no-store",
}

// foldedFields are fields whose value goes on in the next line.
var foldedFields = []string{"X-Folded: a%s b", "X-Folded:%s\ta", "Link: <http://192.0.2.1/>;%s rel=x", "X-Folded: a%s http://192.0.2.1/"}

// Sound draws a response of status 200 that has the given fields.
func Sound(t *rapid.T, given ...string) Response {
	framing, rest := framed(t)
	fields := slices.Concat(given, framing, []string{"X-Odd: v"}, rapid.SliceOfDistinct(rapid.SampledFrom(ordinaryFields), rapid.ID[string]).Draw(t, "fields"))
	end := rapid.SampledFrom([]string{crlf, crlf, "\n"}).Draw(t, "line end")
	if rapid.Bool().Draw(t, "folded") {
		fields = append(fields, fmt.Sprintf(rapid.SampledFrom(foldedFields).Draw(t, "fold"), end))
	}
	fields = rapid.Permutation(fields).Draw(t, "order")
	line := rapid.SampledFrom([]string{"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 a b\xe9"}).Draw(t, "status line")
	head := informational(t, end) + line + end + strings.Join(fields, end) + end + end
	return Response{Wire: head + rest, Head: head, Body: body, OddField: "X-Odd"}
}

func informational(t *rapid.T, end string) string {
	return rapid.SampledFrom([]string{"", "", "HTTP/1.1 100 Continue" + end + end, "HTTP/1.1 103 Early Hints" + end + "Link: x" + end + end}).Draw(t, "informational")
}

// Broken draws a response whose head has one line that is none, or whose informational head has. given are
// further fields of the head.
func Broken(t *rapid.T, given ...string) Response {
	framing, rest := framed(t)
	fields := slices.Concat(given, framing, []string{"Server: a"})
	fields = rapid.Permutation(fields).Draw(t, "order")
	line, before := "HTTP/1.1 200 OK", ""
	switch rapid.IntRange(0, 9).Draw(t, "what is broken") {
	case 0:
		line = rapid.SampledFrom(brokenStatusLines).Draw(t, "status line")
	case 1, 2:
		before = "HTTP/1.1 103 Early Hints" + crlf + "Link: x" + crlf + brokenLine(t, true) + crlf + crlf
	default:
		at := rapid.IntRange(0, len(fields)).Draw(t, "position")
		fields = slices.Insert(fields, at, brokenLine(t, at > 0))
	}
	head := before + line + crlf + strings.Join(fields, crlf) + crlf + crlf
	return Response{Wire: head + rest, Head: head}
}

var brokenStatusLines = []string{
	"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 \x1b[0m", "HTTP/1.1 200\tOK", "HTTP/1.1\t200 OK", "HTTP/1.1 20", "HTTP/1.1 000 OK", "HTTP/1.1 600 OK",
	"HTTP/1.1200 OK", "HTTP/11 200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", " HTTP/1.1 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "ICY 200 OK", "\x00HTTP/1.1 200 OK",
	"HTTP/1.1 200 HTTP/1.1 503 Busy", "http/1.1 200 OK",
}

// brokenLine draws a line that is no field. The line after a field may continue it.
func brokenLine(t *rapid.T, afterField bool) string {
	field := rapid.SampledFrom([][2]string{
		{"X-Odd", " v"}, {"Content-Length", " 2"}, {"Transfer-Encoding", " chunked"}, {"Content-Type", " text/plain"}, {"Id", " b"},
	}).Draw(t, "field")
	name, value := field[0], field[1]
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return name
	case 1:
		return ":" + value
	case 2:
		control := rapid.SampledFrom([]string{"\x00", "\x01", "\x08", "\x0b", "\r", "\x1b", "\x7f"}).Draw(t, "control byte")
		return "X-Odd: a" + control + "b"
	case 3:
		return name + ": HTTP/1.1 503 Busy"
	case 4:
		return rapid.SampledFrom([]string{" ", "\t", " \t "}).Draw(t, "blanks")
	}
	odd := rapid.SampledFrom(oddBytes()).Draw(t, "byte")
	at := rapid.IntRange(0, len(name)).Draw(t, "position in the name")
	if odd == "\n" && !afterField && at == 0 {
		odd = "\t"
	}
	return name[:at] + odd + name[at:] + ":" + value
}

// oddBytes returns the bytes that no name has, but for the colon, which ends one.
func oddBytes() []string {
	odd := []string{" ", "\t", "\n", " \t", "  "}
	for b := range 256 {
		if b < ' ' || b >= 0x7f || strings.IndexByte(`"(),/;<=>?@[\]{}`, byte(b)) >= 0 {
			odd = append(odd, string([]byte{byte(b)}))
		}
	}
	return odd
}

// BrokenTrailer draws a response in chunks whose trailer has a line that is no field.
func BrokenTrailer(t *rapid.T, given ...string) Response {
	fields := slices.Concat(given, []string{"Transfer-Encoding: chunked"})
	odd := brokenLine(t, false)
	trailer := []string{odd, "Sum: 7"}
	if rapid.Bool().Draw(t, "behind a field") && strings.Trim(odd[:1], " \t") != "" { // A blank would continue the field.
		trailer = []string{"Sum: 7", odd}
	}
	return Response{Wire: "HTTP/1.1 200 OK" + crlf + strings.Join(fields, crlf) + crlf + crlf + "4\r\nbody\r\n0\r\n" + strings.Join(trailer, crlf) + crlf + crlf}
}

// Listen serves connections on loopback until the listener is closed: after each request it sends what
// respond returns, and closes the connection.
func Listen(respond func(*http.Request) string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // It ends with Close.
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, respond)
		}
	}()
	return listener, nil
}

// Pipe returns a connection whose other side sends wire after the first request, and closes it.
func Pipe(wire string) net.Conn {
	near, far := net.Pipe()
	go serve(far, func(*http.Request) string { return wire })
	return near
}

func serve(conn net.Conn, respond func(*http.Request) string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, respond(request))
}

// Endless serves connections on loopback until the listener is closed: after each request it sends prefix
// and then unit over and over, until the other side closes the connection or it has sent limit bytes. sent
// gets the number of bytes of each connection.
func Endless(prefix, unit string, limit int) (listener net.Listener, sent <-chan int, err error) {
	counts := make(chan int, 64)
	listener, err = net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // It ends with Close.
	if err != nil {
		return nil, nil, err
	}
	block := []byte(strings.Repeat(unit, max(1, (64<<10)/len(unit))))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				total, err := io.WriteString(conn, prefix)
				for err == nil && total < limit {
					var n int
					n, err = conn.Write(block)
					total += n
				}
				counts <- total
			}()
		}
	}()
	return listener, counts, nil
}
