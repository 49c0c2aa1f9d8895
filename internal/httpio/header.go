package httpio

import (
	"bufio"
	"bytes"
	"errors"
)

// errMalformedHeader means that a request header breaks the rules on line endings. Parsers
// differ in how they read such a header, so that the next hop could see other fields or
// another request (request smuggling).
var errMalformedHeader = errors.New("malformed request header")

// headerEnd ends a request header.
var headerEnd = []byte("\r\n\r\n")

// errHeaderTooLarge means that a request header exceeds the limit.
var errHeaderTooLarge = errors.New("request header exceeds the limit")

// awaitHeader blocks until the reader has buffered a complete request header of at most limit bytes.
// It fails as soon as a line ends without a carriage return or continues on the next line (obsolete
// line folding), and with bufio.ErrBufferFull if the header is larger than the buffer.
func awaitHeader(reader *bufio.Reader, limit int) error {
	checked := 0
	for {
		if _, err := reader.Peek(max(1, checked+1)); err != nil {
			return err
		}
		header, err := reader.Peek(reader.Buffered())
		if err != nil {
			return err
		}
		end := bytes.Index(header, headerEnd)
		if end >= 0 {
			header = header[:end+len(headerEnd)]
		}
		if !validLines(header, checked) {
			return errMalformedHeader
		}
		if len(header) > limit || end < 0 && len(header) == limit {
			return errHeaderTooLarge
		}
		if end >= 0 {
			return nil
		}
		checked = len(header)
	}
}

// validLines checks the line endings of the part of a header that starts at from.
func validLines(header []byte, from int) bool {
	for i := from; i < len(header); i++ {
		switch header[i] {
		case '\n':
			if i == 0 || header[i-1] != '\r' {
				return false
			}
		case ' ', '\t':
			if i > 0 && header[i-1] == '\n' {
				return false
			}
		}
	}
	return true
}
