// Package httphead decides which bytes are the head of an HTTP/1.1 response (RFC 9110, RFC 9112). The
// parsers of libraries let through what these don't allow, and then disagree on where the body begins and
// ends. All readers of responses use it, before or behind the parser of their library.
//
// Deviations that sound servers are known for are allowed, as they can be read in one way alone: line
// folding (RFC 9112, section 5.2), lines ended by a line feed alone (section 2.2), the same Content-Length
// twice (section 6.3), a status line without the blank before an absent reason, further blanks before the
// status, and empty lines before the status line.
package httphead

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that bytes are not the head of a response.
var ErrMalformed = errors.New("malformed head")

// maxQuoted bounds the bytes of a line that an error quotes.
const maxQuoted = 60

// malformed returns an error that wraps ErrMalformed, and quotes the beginning of the line.
func malformed(reason string, line []byte) error {
	return fmt.Errorf("%w: %s in %q", ErrMalformed, reason, line[:min(len(line), maxQuoted)])
}

// Scanner checks the lines of one head, or of one trailer (RFC 9112, section 7.1.2). The zero value is
// ready for a head.
type Scanner struct {
	trailer bool
	// begun is set after the status line, and field after the first field.
	begun, field bool
	// framing is set while a line would continue the value of a field that frames the body.
	framing bool
	// lf is set if the last line ended with a line feed alone.
	lf bool
	// unplain is set if parsers differ on how they read the head.
	unplain bool
	status  int
	// http10 is set if the version is HTTP/1.0.
	http10 bool
	// chunked is set after a Transfer-Encoding, and length holds the value of a Content-Length.
	chunked bool
	length  []byte
}

// NewTrailerScanner returns a scanner of the lines behind the last chunk.
func NewTrailerScanner() *Scanner { return &Scanner{trailer: true, begun: true} }

// Scan checks the complete lines that p begins with, and returns how many bytes they have. It is to be
// called again with the bytes that follow, until done is set: the last of the n bytes ends the head then.
// Its errors wrap ErrMalformed.
func (s *Scanner) Scan(p []byte) (n int, done bool, err error) {
	for {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			return n, false, nil
		}
		line := p[n : n+end]
		n += end + 1
		if done, err = s.scanLine(line); done || err != nil {
			return n, done, err
		}
	}
}

// Status returns the status, and 0 before the status line.
func (s *Scanner) Status() int { return s.status }

// Informational reports whether another head follows (RFC 9110, section 15.2). None follows 101: it ends
// the use of HTTP on the connection.
func (s *Scanner) Informational() bool {
	const switchingProtocols, minFinal = 101, 200
	return s.status < minFinal && s.status != switchingProtocols
}

// Plain reports whether the head has none of the deviations that parsers differ on; see Canonical.
func (s *Scanner) Plain() bool { return !s.unplain }

// scanLine checks a line, given without its line feed, and reports whether it ends the head.
func (s *Scanner) scanLine(line []byte) (end bool, err error) {
	text, crlf := bytes.CutSuffix(line, []byte("\r"))
	lfBefore := s.lf
	s.lf = !crlf
	s.unplain = s.unplain || s.lf
	switch {
	case !s.begun && len(text) == 0:
		return false, nil
	case !s.begun:
		s.begun = true
		return false, s.scanStatusLine(text)
	case len(text) == 0 && s.lf && !lfBefore:
		// A line feed before a name would end the head of a server that ends its lines with both.
		return false, malformed("an empty line without a carriage return", line)
	case len(text) == 0:
		return true, s.checkFraming()
	case text[0] == ' ' || text[0] == '\t':
		return false, s.scanContinuation(text)
	}
	s.field = true
	return false, s.scanField(text)
}

// statusLine matches a status line (RFC 9112, section 4). The first digit of the status is its class.
var statusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) +([1-5][0-9][0-9])(?: |$)`)

func (s *Scanner) scanStatusLine(line []byte) error {
	parts := statusLine.FindSubmatch(line)
	if parts == nil || !validText(line) {
		return malformed("no status line", line)
	}
	if hasStatusLine(line[len(versionPrefix):]) {
		return malformed("another status line", line)
	}
	s.http10 = parts[1][0] == '0'
	for _, digit := range parts[2] {
		s.status = 10*s.status + int(digit-'0')
	}
	return nil
}

func (s *Scanner) scanField(line []byte) error {
	name, value, err := cutField(line)
	if err != nil {
		return err
	}
	s.framing = true
	switch {
	case s.trailer: // Its fields don't frame the body, which has ended.
		s.framing = false
	case bytes.EqualFold(name, contentLength):
		return s.setLength(line, value)
	case bytes.EqualFold(name, transferEncoding):
		if s.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("an unknown transfer coding", line)
		}
		s.chunked = true
	default:
		s.framing = false
	}
	return nil
}

// setLength notes a Content-Length. It may be repeated, but not differ.
func (s *Scanner) setLength(line, value []byte) error {
	const maxDigits = 18 // More don't fit in an int64.
	if len(value) == 0 || len(value) > maxDigits || bytes.ContainsFunc(value, func(r rune) bool { return r < '0' || r > '9' }) {
		return malformed("a length that is no number", line)
	}
	if s.length != nil && !bytes.Equal(s.length, value) {
		return malformed("another length", line)
	}
	s.unplain = s.unplain || s.length != nil
	s.length = bytes.Clone(value)
	return nil
}

// scanContinuation checks a line that continues the value of a field. To another parser one of blanks alone
// ends the head, and one that reads as a field is a field with a blank before its name.
func (s *Scanner) scanContinuation(line []byte) error {
	text := bytes.TrimLeft(line, " \t")
	switch {
	case len(text) == 0:
		return malformed("a line of blanks", line)
	case !s.field:
		return malformed("a blank before the first name", line)
	case s.framing:
		return malformed("a folded field that frames the body", line)
	case !validText(line):
		return malformed("a control byte", line)
	case hasStatusLine(line):
		return malformed("another status line", line)
	}
	name, value, found := bytes.Cut(text, []byte(":"))
	name = bytes.TrimRight(name, " \t")
	framing := bytes.EqualFold(name, contentLength) || bytes.EqualFold(name, transferEncoding)
	if found && isToken(name) && (framing || len(value) == 0 || value[0] == ' ' || value[0] == '\t') {
		return malformed("a blank before a name", line)
	}
	return nil
}

// checkFraming checks what the head says of the end of the body (RFC 9112, section 6.3).
func (s *Scanner) checkFraming() error {
	switch {
	case s.chunked && s.length != nil:
		return fmt.Errorf("%w: both a length and a transfer coding", ErrMalformed)
	case s.chunked && s.http10:
		return fmt.Errorf("%w: a transfer coding in HTTP/1.0", ErrMalformed)
	}
	return nil
}

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// CheckField checks a field that a parser has accepted.
func CheckField(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return malformed("a name that is none", []byte(name))
	case hasStatusLine([]byte(value)):
		return malformed("another status line", []byte(value))
	}
	return nil
}

func cutField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return nil, nil, malformed("no colon", line)
	case !isToken(name):
		return nil, nil, malformed("a name that is none", line)
	case !validText(value):
		return nil, nil, malformed("a control byte", line)
	case hasStatusLine(line):
		return nil, nil, malformed("another status line", line)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// versionPrefix begins the HTTP version of a status line.
var versionPrefix = []byte("HTTP/")

// anyStatusLine matches the version and the code of a status line, whose code is no part of a longer
// word, such as the host in "Via: HTTP/1.1 203.0.113.5".
var anyStatusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}([ \r\n]|$)`)

// hasStatusLine reports whether text has a status line anywhere. Within a head it is that of another
// response: the server broke off one response, often to an earlier request, and went on with another.
// The status and some of the fields are then those of the first one, and the id may be that of the second.
func hasStatusLine(text []byte) bool {
	return bytes.Contains(text, versionPrefix) && anyStatusLine.Match(text)
}

// isToken reports whether name is a token (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, b := range name {
		if !httpguts.IsTokenRune(rune(b)) {
			return false
		}
	}
	return len(name) > 0
}

// validText reports whether text has no control byte but tabs (RFC 9110, section 5.5).
func validText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// Canonical returns a head that a Scanner has accepted without the deviations that parsers differ on:
// all lines end with a carriage return and a line feed, and no length is repeated.
func Canonical(head []byte) []byte {
	plain := make([]byte, 0, len(head)+len(head)/8)
	hasLength := false
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(name, contentLength) {
			if hasLength {
				continue
			}
			hasLength = true
		}
		plain = append(append(plain, line...), "\r\n"...)
	}
	return plain
}
